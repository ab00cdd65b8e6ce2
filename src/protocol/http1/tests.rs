use super::*;

/// An answer of discovery arrives in parts, in chunks, with a length that is too long, or comes from
/// something that is no HTTP server. It must be read once its last byte is here, and garbage must be found
/// out at once.
#[test]
fn http_answers() {
    let all = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n-42";
    for cut in 0..all.len() {
        assert!(
            matches!(http_answer(&all[..cut]), Ok(Parsed::More(n)) if n <= all.len() - cut),
            "{cut}"
        );
    }
    let want = HttpAnswer {
        status: 200,
        body: b"-42".to_vec(),
        close: true,
    };
    assert_eq!(http_answer(all), Ok(Parsed::Complete(want, all.len())));
    let parts =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    let want = HttpAnswer {
        status: 200,
        body: b"abc".to_vec(),
        close: false,
    };
    assert_eq!(http_answer(parts), Ok(Parsed::Complete(want, parts.len())));
    assert_eq!(http_answer(b"SSH-2.0-x\r\n"), Err(Malformed));
    assert_eq!(
        http_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
        Err(Malformed)
    );
}

/// A server gives no length. Its good answer is complete only when the connection ends in order; an answer
/// that is cut off before its stated length never is.
#[test]
fn a_good_answer_without_a_length_ends_with_its_connection_and_others_at_once() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\n12";
    assert!(matches!(http_answer(bytes), Ok(Parsed::More(_))));
    let want = HttpAnswer {
        status: 200,
        body: b"12".to_vec(),
        close: true,
    };
    assert_eq!(
        http_answer_at_end(bytes),
        Ok(Parsed::Complete(want, bytes.len()))
    );
    let bytes = b"HTTP/1.1 503 No\r\n\r\n";
    let want = HttpAnswer {
        status: 503,
        body: Vec::new(),
        close: false,
    };
    assert_eq!(http_answer(bytes), Ok(Parsed::Complete(want, bytes.len())));
    let cut = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n12";
    assert!(matches!(http_answer_at_end(cut), Ok(Parsed::More(_))));
}
