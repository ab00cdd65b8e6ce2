//! The index over tests chooses the same tests as a check of every key would.

mod common;
mod generators;

use common::{schema, Request};
use driftgap_expr::{Chosen, Expression, FieldId, Input, Interner, SelectKey, Selector, Value};
use proptest::prelude::*;
use proptest::sample::select;
use std::sync::Arc;

const PATH: FieldId = FieldId(0);
const METHOD: FieldId = FieldId(1);

/// Whether a test with this key may be true for an input, without any index.
fn may_be_true(key: &SelectKey, input: &dyn Input) -> bool {
    let holds = |field: &FieldId, test: &dyn Fn(&str) -> bool| match input.get(*field) {
        Some(Value::Text(text)) => test(text),
        _ => false,
    };
    match key {
        SelectKey::Always => true,
        SelectKey::Never => false,
        SelectKey::Equals(field, with) => holds(field, &|text| *text == **with),
        SelectKey::EqualsAny(field, all) => {
            holds(field, &|text| all.iter().any(|with| *text == **with))
        }
        SelectKey::BeginsWith(field, with) => holds(field, &|text| text.starts_with(&**with)),
        SelectKey::BeginsWithAny(field, all) => holds(field, &|text| {
            all.iter().any(|with| text.starts_with(&**with))
        }),
    }
}

fn chosen(selector: &Selector, input: &dyn Input, chosen: &mut Chosen) -> Vec<usize> {
    selector.choose(input, chosen);
    chosen.iter().collect()
}

/// Texts over a small alphabet, so that many are equal or prefixes of one another. Some have
/// multi-byte characters.
fn nested() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![8 => "[ab/]{1,12}", 1 => "[aé/]{1,4}", 1 => "a{1,60}"].prop_map(Arc::from)
}

fn some_texts() -> impl Strategy<Value = Arc<[Arc<str>]>> {
    prop::collection::vec(nested(), 2..6).prop_map(Arc::from)
}

fn key() -> impl Strategy<Value = SelectKey> {
    let field = || select(vec![PATH, METHOD, FieldId(3)]);
    prop_oneof![
        1 => Just(SelectKey::Always),
        1 => Just(SelectKey::Never),
        8 => (field(), nested()).prop_map(|(field, text)| SelectKey::Equals(field, text)),
        8 => (field(), nested()).prop_map(|(field, text)| SelectKey::BeginsWith(field, text)),
        2 => (field(), some_texts()).prop_map(|(field, texts)| SelectKey::EqualsAny(field, texts)),
        2 => (field(), some_texts()).prop_map(|(field, texts)| SelectKey::BeginsWithAny(field, texts)),
    ]
}

fn input() -> impl Strategy<Value = Request> {
    (nested(), nested(), prop::option::of(nested())).prop_map(|(path, method, agent)| Request {
        path: path.to_string(),
        method: method.to_string(),
        agent: agent.map(|agent| agent.to_string()),
        ..Request::default()
    })
}

fn assert_as_brute_force(
    keys: &[SelectKey],
    inputs: &[Request],
    kept: &mut Chosen,
) -> Result<(), TestCaseError> {
    let selector = Selector::new(keys.iter());
    prop_assert_eq!(selector.len(), keys.len());
    for input in inputs {
        let want: Vec<usize> = (0..keys.len())
            .filter(|i| may_be_true(&keys[*i], input))
            .collect();
        prop_assert_eq!(want, chosen(&selector, input, kept), "{:?}", input);
    }
    Ok(())
}

proptest! {
    #![proptest_config(generators::cases(200))]

    #[test]
    fn index_chooses_like_brute_force(
        keys in prop::collection::vec(key(), 0..200),
        others in prop::collection::vec(key(), 0..20),
        inputs in prop::collection::vec(input(), 1..10),
    ) {
        let mut kept = Chosen::default();
        assert_as_brute_force(&keys, &inputs, &mut kept)?;
        // A reused `Chosen` must not keep choices of an earlier index.
        assert_as_brute_force(&others, &inputs, &mut kept)?;
        assert_as_brute_force(&keys, &inputs, &mut kept)?;
    }

    #[test]
    fn keys_hold_wherever_tests_are_true(
        texts in prop::collection::vec(generators::bool_text(2), 1..40),
        request in generators::request(),
    ) {
        let mut interner = Interner::new();
        let mut scratch = driftgap_expr::Scratch::default();
        for text in &texts {
            let Ok(test) = Expression::new(text, &schema()) else { continue };
            if test.test(&request, &mut scratch) == Ok(true) {
                let key = test.select_key(&mut interner);
                prop_assert!(may_be_true(&key, &request), "{text}: {key:?} on {request:?}");
            }
        }
    }
}

proptest! {
    #![proptest_config(generators::cases(6))]

    #[test]
    fn many_nested_prefixes_choose_like_brute_force(
        keys in prop::collection::vec(
            nested().prop_map(|text| SelectKey::BeginsWith(PATH, text)),
            4000..6000,
        ),
        inputs in prop::collection::vec(input(), 100),
    ) {
        assert_as_brute_force(&keys, &inputs, &mut Chosen::default())?;
    }
}

fn key_of(text: &str) -> SelectKey {
    Expression::new(text, &schema())
        .unwrap()
        .select_key(&mut Interner::new())
}

#[test]
fn key_uses_the_longest_required_text() {
    let begins = |text: &str| SelectKey::BeginsWith(PATH, text.into());
    assert_eq!(
        key_of("request.path.startsWith('/news/') && request.method == 'GET'"),
        begins("/news/")
    );
    assert_eq!(
        key_of("request.path == '/news'"),
        SelectKey::Equals(PATH, "/news".into())
    );
    let methods = SelectKey::EqualsAny(METHOD, ["GET".into(), "PUT".into()].into());
    assert_eq!(key_of("request.method in ['PUT', 'GET']"), methods);
    let paths = SelectKey::BeginsWithAny(PATH, ["/a/".into(), "/b/".into()].into());
    assert_eq!(
        key_of("request.path.startsWith('/b/') || request.path.startsWith('/a/')"),
        paths
    );
    assert_eq!(key_of("request.path.contains('/news/')"), SelectKey::Always);
    assert_eq!(key_of("request.path.startsWith('')"), SelectKey::Always);
    assert_eq!(
        key_of("request.method == 'GET' && request.method == 'PUT'"),
        SelectKey::Never
    );
    assert!(size_of::<SelectKey>() <= 24);
}

#[test]
fn text_shared_by_most_tests_is_not_their_key() {
    let mut interner = Interner::new();
    let test = |number: usize| {
        format!("request.agent.orValue('') == 'the-one.example' && request.path.startsWith('/{number}/')")
    };
    let expressions = (0..2000).map(|number| Expression::new(&test(number), &schema()).unwrap());
    let (keys, compiled): (Vec<_>, Vec<_>) = expressions
        .map(|expression| {
            (
                expression.select_key(&mut interner),
                expression.compile(&mut interner),
            )
        })
        .unzip();
    let selector = Selector::new(keys.iter());
    let request = Request {
        path: "/1999/live".into(),
        agent: Some("the-one.example".into()),
        ..Request::default()
    };
    let chosen = chosen(&selector, &request, &mut Chosen::default());
    assert!(
        chosen.contains(&1999) && chosen.len() < 32,
        "{} are chosen",
        chosen.len()
    );
    drop(compiled);
}

#[test]
fn unindexed_tests_are_counted_and_always_chosen() {
    let keys = [
        key_of("true"),
        key_of("request.path == '/a'"),
        key_of("request.retry"),
    ];
    let selector = Selector::new(keys.iter());
    assert_eq!(
        (selector.len(), selector.unindexed(), selector.is_empty()),
        (3, 2, false)
    );
    let request = Request {
        path: "/b".into(),
        ..Request::default()
    };
    assert_eq!(chosen(&selector, &request, &mut Chosen::default()), [0, 2]);
    assert!(Selector::new([].iter()).is_empty());
}

#[test]
fn empty_prefix_matches_every_text() {
    let keys = [
        SelectKey::BeginsWith(PATH, "".into()),
        SelectKey::Equals(PATH, "".into()),
    ];
    let selector = Selector::new(keys.iter());
    let some = Request {
        path: "/b".into(),
        ..Request::default()
    };
    assert_eq!(chosen(&selector, &some, &mut Chosen::default()), [0]);
    let empty = Request {
        path: String::new(),
        ..Request::default()
    };
    assert_eq!(chosen(&selector, &empty, &mut Chosen::default()), [0, 1]);
}
