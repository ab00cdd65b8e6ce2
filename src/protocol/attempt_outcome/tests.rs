use super::*;

/// An endpoint answers with each known error word, or with an unknown one. Only `BUSY` proves that
/// the request did not run.
#[test]
fn only_busy_is_a_rejection_over_resp() {
    let outcomes =
        [b"BUSY".as_slice(), b"ERR", b"busy", b"BUSYX", b"MOVED", b""].map(of_resp_error);
    let expected = [
        Some(Outcome::Rejected),
        Some(Outcome::Error),
        None,
        None,
        None,
        None,
    ];
    assert_eq!(outcomes, expected);
}

/// An intermediary between the ingress and an endpoint answers 503 after the endpoint has run the
/// request. Only the endpoint's own header proves that the request did not run, and only with a
/// status that rejects.
#[test]
fn status_is_rejection_only_with_endpoint_header() {
    let bare = HeaderMap::new();
    let mut declined = HeaderMap::new();
    declined.insert(REJECTED, http::HeaderValue::from_static("1"));
    for (status, without, with) in [
        (200, Outcome::Ok, Outcome::Ok),
        (429, Outcome::Error, Outcome::Rejected),
        (503, Outcome::Error, Outcome::Rejected),
        (500, Outcome::Error, Outcome::Error),
        (404, Outcome::Error, Outcome::Error),
    ] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(of_http2_head(status, &bare), without, "{status}");
        assert_eq!(of_http2_head(status, &declined), with, "{status}, declined");
    }
}
