use super::*;

/// A request arrives in parts of any length, since TCP keeps no message boundaries. It must be
/// parsed once its last byte arrives, and the parser must not ask for more bytes than will follow,
/// or the request would wait forever. Bytes that cannot become a request must be detected at once,
/// so that the connection is closed in time.
#[test]
fn request_is_parsed_only_when_complete() {
    let all = b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n";
    for cut in 0..all.len() {
        assert!(
            matches!(request_words(&all[..cut]), Ok(Parsed::More(n)) if n <= all.len() - cut),
            "{cut}"
        );
    }
    assert_eq!(
        request_words(all),
        Ok(Parsed::Complete(vec![b"PING".as_slice(), b""], all.len()))
    );
    let bad: [&[u8]; 6] = [
        b"PING\r\n",
        b"*0\r\n",
        b"*99\r\n",
        b"*1\r\n+x\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$1\r\nabc",
    ];
    for bytes in bad {
        assert_eq!(request_words(bytes), Err(Malformed), "{bytes:?}");
    }
}

/// An endpoint, or another server at its address, sends garbage or deeply nested arrays. The parser
/// must return an error, without a panic and without unbounded recursion.
#[test]
fn malformed_and_deeply_nested_replies_are_errors() {
    let parsed = endpoint_reply(b"*3\r\n$2\r\nhi\r\n$-1\r\n*-1\r\n");
    let items = vec![
        Reply::Bulk(Some(b"hi")),
        Reply::Bulk(None),
        Reply::Array(vec![]),
    ];
    assert_eq!(parsed, Ok(Parsed::Complete(Reply::Array(items), 22)));
    assert_eq!(
        endpoint_reply(b"-BUSY\r\n"),
        Ok(Parsed::Complete(Reply::Error(b"BUSY"), 7))
    );
    assert_eq!(endpoint_reply(b"!what"), Err(Malformed));
    assert_eq!(
        endpoint_reply(b"*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n"),
        Err(Malformed)
    );
}
