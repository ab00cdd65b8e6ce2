//! Tests of the module `facts`.

use super::*;

const PLACE: Path = Path::Field(FieldId(0));

fn texts(all: &[&str]) -> TextSet {
    all.iter().map(|t| Arc::from(*t)).collect()
}

fn fact(texts: Texts) -> Facts {
    Facts::one(
        PLACE,
        Fact {
            texts,
            ..Fact::default()
        },
    )
}

fn begins(with: &[&str]) -> Facts {
    Facts::one(
        PLACE,
        Fact {
            prefixes: Some(texts(with)),
            ..Fact::default()
        },
    )
}

#[test]
fn texts_join_and_meet() {
    let (ab, bc) = (
        fact(Texts::In(texts(&["a", "b"]))),
        fact(Texts::In(texts(&["b", "c"]))),
    );
    let listed = |facts: Facts| facts.texts(&PLACE).unwrap().collect::<String>();
    assert_eq!(
        listed(Facts::join(Some(ab.clone()), Some(bc.clone())).unwrap()),
        "abc"
    );
    assert_eq!(listed(ab.clone().meet(bc).unwrap()), "b");
    let not_b = fact(Texts::NotIn(texts(&["b"])));
    assert_eq!(listed(ab.clone().meet(not_b.clone()).unwrap()), "a");
    assert_eq!(fact(Texts::In(texts(&["b"]))).meet(not_b.clone()), None);
    // What one way excludes and the other allows is not excluded.
    assert_eq!(
        Facts::join(Some(ab.clone()), Some(not_b))
            .unwrap()
            .get(&PLACE),
        None
    );
    assert_eq!(Facts::join(Some(ab.clone()), None), Some(ab));
}

#[test]
fn prefixes_join_with_texts_and_tell_what_is_apart() {
    let joined = Facts::join(
        Some(begins(&["/a/"])),
        Some(fact(Texts::In(texts(&["/b"])))),
    )
    .unwrap();
    let fact = joined.get(&PLACE).unwrap();
    assert!(fact.never_begins("/c") && !fact.never_begins("/a/x") && !fact.never_begins("/"));
    // "/b" itself may be it, but nothing longer; what is known is a beginning only, so that is not told.
    assert!(!fact.never_begins("/b/"));
    let not = Facts::one(
        PLACE,
        Fact {
            not_prefixes: texts(&["/a"]),
            ..Fact::default()
        },
    );
    assert!(
        not.get(&PLACE).unwrap().never_begins("/ab") && !not.get(&PLACE).unwrap().never_begins("/")
    );
    assert_eq!(
        not.meet(super::tests::fact(Texts::In(texts(&["/ab"])))),
        None
    );
}
