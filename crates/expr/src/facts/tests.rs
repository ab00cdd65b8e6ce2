//! Tests of joining and meeting facts.

use super::*;

const PATH: Path = Path::Field(FieldId(0));

fn texts(all: &[&str]) -> TextSet {
    all.iter().map(|t| Arc::from(*t)).collect()
}

fn fact(texts: Texts) -> Facts {
    Facts::one(
        PATH,
        Fact {
            texts,
            ..Fact::default()
        },
    )
}

fn begins(with: &[&str]) -> Facts {
    Facts::one(
        PATH,
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
    let listed = |facts: Facts| facts.texts(&PATH).unwrap().collect::<String>();
    assert_eq!(
        listed(Facts::join(Some(ab.clone()), Some(bc.clone())).unwrap()),
        "abc"
    );
    assert_eq!(listed(ab.clone().meet(bc).unwrap()), "b");
    let not_b = fact(Texts::NotIn(texts(&["b"])));
    assert_eq!(listed(ab.clone().meet(not_b.clone()).unwrap()), "a");
    assert_eq!(fact(Texts::In(texts(&["b"]))).meet(not_b.clone()), None);
    // A text that one case excludes and the other allows is not excluded.
    assert_eq!(
        Facts::join(Some(ab.clone()), Some(not_b))
            .unwrap()
            .get(&PATH),
        None
    );
    assert_eq!(Facts::join(Some(ab.clone()), None), Some(ab));
}

#[test]
fn joined_prefixes_and_texts_exclude_other_prefixes() {
    let joined = Facts::join(
        Some(begins(&["/a/"])),
        Some(fact(Texts::In(texts(&["/b"])))),
    )
    .unwrap();
    let fact = joined.get(&PATH).unwrap();
    assert!(fact.never_begins("/c") && !fact.never_begins("/a/x") && !fact.never_begins("/"));
    // The value may be exactly "/b" and nothing longer. The joined fact keeps "/b" as a prefix
    // only, so "/b/" is not excluded.
    assert!(!fact.never_begins("/b/"));
    let not = Facts::one(
        PATH,
        Fact {
            not_prefixes: texts(&["/a"]),
            ..Fact::default()
        },
    );
    assert!(
        not.get(&PATH).unwrap().never_begins("/ab") && !not.get(&PATH).unwrap().never_begins("/")
    );
    assert_eq!(
        not.meet(super::tests::fact(Texts::In(texts(&["/ab"])))),
        None
    );
}
