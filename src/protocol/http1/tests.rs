use super::*;

/// An answer of discovery arrives in parts, in chunks, with a length that is too long, or from a
/// server that is not an HTTP server. A valid answer must be parsed once its last byte arrives, and
/// invalid bytes must be detected at once.
#[test]
fn answer_is_parsed_only_when_complete() {
    let all = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n-42";
    for cut in 0..all.len() {
        assert!(
            matches!(http_answer(&all[..cut]), Ok(Parsed::More(n)) if n <= all.len() - cut),
            "{cut}"
        );
    }
    let expected = HttpAnswer {
        status: 200,
        body: b"-42".to_vec(),
        close: true,
    };
    assert_eq!(http_answer(all), Ok(Parsed::Complete(expected, all.len())));
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    let expected = HttpAnswer {
        status: 200,
        body: b"abc".to_vec(),
        close: false,
    };
    assert_eq!(
        http_answer(chunked),
        Ok(Parsed::Complete(expected, chunked.len()))
    );
    assert_eq!(http_answer(b"SSH-2.0-x\r\n"), Err(Malformed));
    assert_eq!(
        http_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
        Err(Malformed)
    );
}

/// A server gives no length. Its 200 answer is complete only when the connection is closed in
/// order. An answer that ends before its stated length is never complete.
#[test]
fn ok_answer_without_length_ends_with_its_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\n12";
    assert!(matches!(http_answer(bytes), Ok(Parsed::More(_))));
    let expected = HttpAnswer {
        status: 200,
        body: b"12".to_vec(),
        close: true,
    };
    assert_eq!(
        http_answer_at_end(bytes),
        Ok(Parsed::Complete(expected, bytes.len()))
    );
    let bytes = b"HTTP/1.1 503 No\r\n\r\n";
    let expected = HttpAnswer {
        status: 503,
        body: Vec::new(),
        close: false,
    };
    assert_eq!(
        http_answer(bytes),
        Ok(Parsed::Complete(expected, bytes.len()))
    );
    let cut = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n12";
    assert!(matches!(http_answer_at_end(cut), Ok(Parsed::More(_))));
}
