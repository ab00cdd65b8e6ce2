use super::*;

/// Discovery sends a list with entries that make no sense, or something that is no list. What can be used must be used,
/// and nothing of what is no list.
#[test]
fn one_bad_entry_is_left_out_and_a_bad_list_takes_nothing() {
    let mut registry = EndpointRegistry::new(vec!["a".into(), "b".into()]);
    let list = serde_json::json!({"version": 41, "full": true, "servers": [
        {"id": "s-1", "addr": "127.0.0.1:1", "zone": "b", "cell": 3, "state": "active", "weight": 1.5,
         "started_ms": 2000},
        {"id": "s-2", "addr": "nowhere", "zone": "a", "cell": 3, "state": "active", "weight": 1.0},
        {"id": "s-3", "addr": "127.0.0.1:3", "zone": "a", "cell": 3, "state": "on fire"},
        {"addr": "127.0.0.1:4", "state": "active"}
    ]});
    let update = registry.apply_list(&list).unwrap();
    let want = EndpointEntry {
        id: 1,
        zone: 1,
        cell: 3,
        state: EndpointState::Ready,
        capacity: 1.5,
        started_at: 2.0,
        pools: ALL_ENDPOINTS,
    };
    assert_eq!(
        (update.kind, update.version, update.entries),
        (ListKind::Full, 41, vec![want])
    );
    for bad in [
        serde_json::json!([]),
        serde_json::json!({"version": 1}),
        serde_json::json!({"servers": []}),
    ] {
        assert!(registry.apply_list(&bad).is_err(), "{bad}");
    }
}

/// Through a long day endpoints come under new names and leave. What is known of those that left must not add up, and
/// a late answer of one must not be taken for another's.
#[test]
fn what_has_left_is_forgotten_and_its_id_is_not_given_again() {
    let mut registry = EndpointRegistry::new(vec![]);
    let mut numbers = HashSet::new();
    for i in 0..1000 {
        let server = |id: String, state: &str| serde_json::json!({"id": id, "addr": "127.0.0.1:1", "state": state});
        let servers = [
            server(format!("s-{i}"), "active"),
            server(format!("s-{}", i - 1), "left"),
        ];
        let update = registry
            .apply_list(&serde_json::json!({"version": i, "servers": servers}))
            .unwrap();
        let gone: HashSet<_> = update
            .entries
            .iter()
            .filter(|e| e.state == EndpointState::Gone)
            .map(|e| e.id)
            .collect();
        assert!(numbers.insert(update.entries[0].id) && gone.len() == usize::from(i > 0));
        registry.remove(|id| gone.contains(&id));
    }
    assert_eq!((registry.len(), registry.endpoints.len()), (1, 1));
}

/// Discovery sends a full list, which names nothing of the operator's inventory. What the inventory names must go on
/// serving.
#[test]
fn a_full_list_of_discoverys_does_not_end_what_the_inventory_names() {
    let mut registry = EndpointRegistry::new(vec![]);
    let id = registry.id_for("mine");
    let mine = EndpointEntry {
        id,
        zone: 0,
        cell: 0,
        state: EndpointState::Ready,
        capacity: 1.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    };
    registry.set_inventory(std::slice::from_ref(&mine));
    let empty = serde_json::json!({"version": 1, "full": true, "servers": []});
    assert_eq!(registry.apply_list(&empty).unwrap().entries, vec![mine]);
}

/// Discovery says that an endpoint has left which the inventory names. Its address and its id must stay.
#[test]
fn what_the_inventory_names_is_kept_whoever_says_that_it_has_left() {
    let mut registry = EndpointRegistry::new(vec![]);
    let endpoint = |name: &str| Endpoint {
        name: name.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        protocol: EndpointProtocol::Resp,
        labels: Vec::new(),
    };
    let ids = ["mine", "named", "gone"].map(|name| {
        let id = registry.id_for(name);
        registry.set_endpoint(id, endpoint(name));
        id
    });
    let mine = EndpointEntry {
        id: ids[0],
        zone: 0,
        cell: 0,
        state: EndpointState::Ready,
        capacity: 1.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    };
    registry.set_inventory(&[mine]);
    registry.remove(|id| id != ids[1]);
    assert_eq!(
        ids.map(|id| registry.endpoint(id).is_some()),
        [true, true, false]
    );
    assert_eq!(
        (
            registry.len(),
            registry.id_for("mine"),
            registry.id_for("named")
        ),
        (2, ids[0], ids[1])
    );
    assert!(
        !ids.contains(&registry.id_for("gone")),
        "its number is not given again"
    );
}
