use super::*;
use driftgap_routes::NoHeaders;

const SETTINGS: &str = include_str!("../../tests/stage/settings.json");

fn platform() -> Platform {
    let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    crate::config::settings::Config::parse(&config)
        .unwrap()
        .platform
}

/// A rule maps a request and leaves out some values. They must come from the client's request, or
/// else have defaults that are valid at every ingress; a missing tenant must be an error.
#[test]
fn unset_values_of_a_mapping_come_from_the_client_or_defaults() {
    let platform = platform();
    let list = "c=fetch-episode,t=city,d=900,units=2,spread=1,first=0".to_string();
    let client_request =
        ClientRequest::new(&platform, "0000000000000007", "k1", list, None).unwrap();
    let path = request_path(&platform, &client_request);
    let rule_view = rule_request(
        &platform,
        &client_request,
        &path,
        &NoHeaders,
        IpAddr::from([127, 0, 0, 1]),
    );
    assert_eq!(
        (rule_view.path, rule_view.method, rule_view.units),
        ("/commands/fetch-episode", "GET", Some(2.0))
    );
    let class = client_request.attributes.class;
    let mapped = Mapped {
        class,
        units: Some(1.5),
        terms: vec![("episode".into(), "7".into())],
        ..Mapped::default()
    };
    let result = mapped_request(&platform, mapped.clone(), &rule_view, || "fresh".into()).unwrap();
    assert_eq!(
        (
            result.attributes.units,
            &*result.id,
            result.client_timeout_ms
        ),
        (1.5, "k1", 900.0)
    );
    assert!(result.terms.ends_with(",episode=7"), "{}", result.terms);
    let anonymous = Request {
        id: None,
        deadline_ms: None,
        partner: None,
        ..rule_view
    };
    let result = |mapped| mapped_request(&platform, mapped, &anonymous, || "fresh".into());
    assert_eq!(
        result(mapped.clone()),
        Err(InvalidRequest::Term("customer"))
    );
    let tenant = Some("0000000000000009".to_string());
    let result = result(Mapped {
        partner: tenant,
        ..mapped
    })
    .unwrap();
    let deadline = 1e3 * platform.decision.classes[class].deadline;
    assert_eq!(
        (
            &*result.id,
            result.client_timeout_ms,
            result.attributes.tenant
        ),
        ("fresh", deadline, 9)
    );
}
