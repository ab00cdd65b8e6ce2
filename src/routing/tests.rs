use super::*;
use driftgap_routes::NoHeaders;

const SETTINGS: &str = include_str!("../../tests/stage/settings.json");

fn platform() -> Platform {
    let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    crate::config::settings::Config::parse(&config)
        .unwrap()
        .platform
}

#[test]
fn what_a_rule_leaves_out_is_the_clients_or_holds_everywhere() {
    let platform = platform();
    let list = "c=fetch-episode,t=city,d=900,units=2,spread=1,first=0".to_string();
    let own = ClientRequest::new(&platform, "0000000000000007", "k1", list, None).unwrap();
    let path = request_path(&platform, &own);
    let seen = rule_request(
        &platform,
        &own,
        &path,
        &NoHeaders,
        IpAddr::from([127, 0, 0, 1]),
    );
    assert_eq!(
        (seen.path, seen.method, seen.units),
        ("/commands/fetch-episode", "GET", Some(2.0))
    );
    let class = own.attributes.class;
    let mapped = Mapped {
        class,
        units: Some(1.5),
        terms: vec![("episode".into(), "7".into())],
        ..Mapped::default()
    };
    let made = mapped_request(&platform, mapped.clone(), &seen, || "fresh".into()).unwrap();
    assert_eq!(
        (made.attributes.units, &*made.id, made.client_timeout_ms),
        (1.5, "k1", 900.0)
    );
    assert!(made.terms.ends_with(",episode=7"), "{}", made.terms);
    let anonymous = Request {
        id: None,
        deadline_ms: None,
        partner: None,
        ..seen
    };
    let made = |mapped| mapped_request(&platform, mapped, &anonymous, || "fresh".into());
    assert_eq!(made(mapped.clone()), Err(InvalidRequest::Term("customer")));
    let tenant = Some("0000000000000009".to_string());
    let made = made(Mapped {
        partner: tenant,
        ..mapped
    })
    .unwrap();
    let deadline = 1e3 * platform.decision.classes[class].deadline;
    assert_eq!(
        (&*made.id, made.client_timeout_ms, made.attributes.tenant),
        ("fresh", deadline, 9)
    );
}
