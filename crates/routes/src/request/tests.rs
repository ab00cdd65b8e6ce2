//! The field ids match the schema, and each request and endpoint field has a value of its type.

use super::*;

#[test]
fn field_ids_match_schema() {
    let schema = request_schema();
    let named = [
        ("request.method", field::METHOD),
        ("request.path", field::PATH),
        ("request.plan", field::PLAN),
        ("request.partner", field::PARTNER),
        ("request.id", field::ID),
        ("request.units", field::UNITS),
    ];
    for (name, id) in named {
        assert_eq!(schema.id(name), Some(id), "{name}");
    }
}

#[test]
fn every_field_has_value_of_its_type() {
    let request = Request {
        protocol: "http2",
        method: "GET",
        path: "/",
        query: Some("q"),
        host: Some("h"),
        headers: &NoHeaders,
        class: Some("c"),
        plan: Some("p"),
        partner: Some("n"),
        id: Some("i"),
        units: Some(1.0),
        deadline_ms: Some(1),
        retry: true,
        length: Some(0),
        client: IpAddr::from([127, 0, 0, 1]),
    };
    let labels = [("a".to_string(), "b".to_string())];
    let ip = IpAddr::from([127, 0, 0, 1]);
    let endpoint = Endpoint {
        name: "n",
        zone: "z",
        cell: 1,
        weight: 1.0,
        protocol: "resp",
        ip,
        labels: &labels,
    };
    let view = View::new(&request);
    let inputs: [(&dyn Input, Schema); 2] =
        [(&view, request_schema()), (&endpoint, endpoint_schema())];
    for (input, schema) in inputs {
        for (i, field) in schema.fields().iter().enumerate() {
            let id = FieldId(i as u16);
            let fits = matches!(
                (input.get(id), input.size(id), &field.ty),
                (Some(Value::Text(_)), None, Type::Text)
                    | (Some(Value::Double(_)), None, Type::Double)
                    | (Some(Value::Int(_)), None, Type::Int)
                    | (Some(Value::Bool(_)), None, Type::Bool)
                    | (Some(Value::Duration(_)), None, Type::Duration)
                    | (Some(Value::Ip(_)), None, Type::Ip)
                    | (None, Some(_), Type::Map(_))
            );
            assert!(fits, "{}", field.name);
        }
    }
}
