//! Schema and requests for the tests of the language.
#![allow(dead_code)]

use driftgap_expr::{FieldId, Input, Schema, Type, Value};
use std::net::IpAddr;

/// Fields whose order matches the field numbers in the look-ups of [`Request`].
pub fn schema() -> Schema {
    let text = || Type::Text;
    Schema::new()
        .field("request.path", text(), 64, 0)
        .field("request.method", text(), 8, 0)
        .optional("request.partner", text(), 16, 0)
        .optional("request.agent", text(), 64, 0)
        .optional("request.units", Type::Double, 0, 0)
        .field("request.size", Type::Int, 0, 0)
        .field("request.ip", Type::Ip, 0, 0)
        .field("request.wait", Type::Duration, 0, 0)
        .field("request.headers", Type::Map(text().into()), 32, 8)
        .field("request.tags", Type::List(text().into()), 16, 4)
        .field("request.retry", Type::Bool, 0, 0)
        .field("load", Type::Double, 0, 0)
        .optional("request.codes", Type::List(Type::Int.into()), 0, 4)
}

#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub method: String,
    pub partner: Option<String>,
    pub agent: Option<String>,
    pub units: Option<f64>,
    pub size: i64,
    pub ip: IpAddr,
    pub wait: i64,
    pub headers: Vec<(String, String)>,
    pub tags: Vec<String>,
    pub retry: bool,
    pub load: f64,
    pub codes: Option<Vec<i64>>,
}

impl Default for Request {
    fn default() -> Request {
        Request {
            path: "/episodes/123/audio".into(),
            method: "GET".into(),
            partner: Some("0000000000000007".into()),
            agent: None,
            units: None,
            size: 42,
            ip: "10.1.2.3".parse().unwrap(),
            wait: 1500,
            headers: vec![
                ("x-station".into(), "Dar".into()),
                ("accept".into(), "audio/ogg".into()),
            ],
            tags: vec!["news".into(), "morning".into(), "sw".into()],
            retry: false,
            load: 0.75,
            codes: Some(vec![1, 2, 3]),
        }
    }
}

impl Input for Request {
    fn get(&self, field: FieldId) -> Option<Value<'_>> {
        match field.0 {
            0 => Some(Value::Text(&self.path)),
            1 => Some(Value::Text(&self.method)),
            2 => self.partner.as_deref().map(Value::Text),
            3 => self.agent.as_deref().map(Value::Text),
            4 => self.units.map(Value::Double),
            5 => Some(Value::Int(self.size)),
            6 => Some(Value::Ip(self.ip)),
            7 => Some(Value::Duration(self.wait)),
            10 => Some(Value::Bool(self.retry)),
            11 => Some(Value::Double(self.load)),
            _ => None,
        }
    }

    fn size(&self, field: FieldId) -> Option<usize> {
        match field.0 {
            8 => Some(self.headers.len()),
            9 => Some(self.tags.len()),
            12 => self.codes.as_ref().map(Vec::len),
            _ => None,
        }
    }

    fn item(&self, field: FieldId, index: usize) -> Option<Value<'_>> {
        match field.0 {
            9 => self.tags.get(index).map(|tag| Value::Text(tag)),
            12 => self
                .codes
                .as_ref()?
                .get(index)
                .map(|code| Value::Int(*code)),
            _ => None,
        }
    }

    fn lookup(&self, field: FieldId, key: &str) -> Option<Value<'_>> {
        let header = self
            .headers
            .iter()
            .find(|(name, _)| field.0 == 8 && name == key);
        header.map(|(_, value)| Value::Text(value))
    }
}

/// Checks any text and, if it is valid, evaluates and explains it.
pub fn run_every_stage(text: &str) {
    use driftgap_expr::{Expression, Fault, Origin, Scratch};
    match Expression::new(text, &schema()) {
        Err(error) => {
            let shown = error.render("text", Origin::default());
            assert!(
                shown.lines().all(|line| line.chars().count() < 1000),
                "{shown}"
            );
        }
        Ok(expression) => {
            let request = Request::default();
            let mut scratch = Scratch::default();
            let result = expression.eval(&request, &mut scratch).map(|_| ());
            assert!(
                matches!(
                    result,
                    Ok(()) | Err(Fault::Overflow | Fault::DivisionByZero)
                ) || is_collection(&expression),
                "{text}"
            );
            assert!(scratch.spent() <= expression.cost(), "{text}");
            let _ = expression.explain(&request);
        }
    }
}

/// Whether the value is a list or a map. Evaluating such an expression fails, since [`Value`] has
/// no collections.
fn is_collection(expression: &driftgap_expr::Expression) -> bool {
    matches!(expression.ty(), Type::List(_) | Type::Map(_))
}
