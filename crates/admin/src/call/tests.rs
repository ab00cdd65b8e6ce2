use super::*;

/// A connection breaks in the middle of a line, or its bytes arrive one by one. Part of a name may
/// be the name of another endpoint, so the call must not be parsed before the end of its line.
#[test]
fn call_is_parsed_only_after_its_line_ends() {
    let all = b"SUSPEND s-12\r\n";
    for cut in 0..all.len() {
        assert_eq!(Call::parse(&all[..cut]), Ok(None), "{cut}");
    }
    assert_eq!(Call::parse(all), Ok(Some(Call::Suspend("s-12".into()))));
    assert_eq!(Call::parse(b"STATUS\nPAUSE\n"), Ok(Some(Call::Status)));
    assert_eq!(
        Call::parse(b" RESTORE  s-1 \n"),
        Ok(Some(Call::Restore("s-1".into())))
    );
}

#[test]
fn invalid_call_is_rejected_with_its_reason() {
    let long = [b"SUSPEND ".as_slice(), &[b'x'; MAX_LINE]].concat();
    let id = [b"SUSPEND ".as_slice(), &[b'x'; MAX_ID + 1], b"\n"].concat();
    assert_eq!(
        Call::parse(b"RESTORE s-1 HERE\n"),
        Ok(Some(Call::RestoreHere("s-1".into())))
    );
    let add = GroupCall::Add("n4".into(), ([10, 0, 0, 4], 700).into());
    assert_eq!(
        Call::parse(b"GROUP ADD n4 10.0.0.4:700\n"),
        Ok(Some(Call::Group(add)))
    );
    let cases: [(&[u8], BadCall); 12] = [
        (b"SUSPEND s-1 THERE\n", BadCall::Words),
        (b"GROUP\n", BadCall::Name),
        (b"GROUP ADD n4 here\n", BadCall::Address),
        (b"GROUP REMOVE\n", BadCall::Words),
        (&long, BadCall::Long),
        (&id, BadCall::Id),
        (b"\n", BadCall::Name),
        (b"status\n", BadCall::Name),
        (b"\xff\xfe\n", BadCall::Name),
        (b"SUSPEND\n", BadCall::Words),
        (b"PAUSE now\n", BadCall::Words),
        (b"SUSPEND s-\xc3\xa9\n", BadCall::Id),
    ];
    for (bytes, expected) in cases {
        assert_eq!(Call::parse(bytes), Err(expected), "{bytes:?}");
    }
    assert_eq!(Answer::nak("a\r\nb").line(), "NAK a  b\r\n");
}
