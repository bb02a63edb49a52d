//! The parser of HTTP/1.1 requests, given the bytes that a connection has received so far.

use cypressgap::net::request_parser::{parse, Parsed, MAX_HEAD_BYTES};

/// Guards against a request that is misread because it arrives in parts, and against body lengths that are
/// invalid, contradictory or above the limit.
#[test]
fn complete_partial_and_malformed_requests() {
    // The request, its path, its body, and whether the connection stays open after it.
    let valid: &[(&str, &str, &str, bool)] = &[
        ("GET /up HTTP/1.1\r\n\r\n", "/up", "", true),
        ("GET /up?x=1 HTTP/1.1\r\nConnection: close\r\n\r\n", "/up", "", false),
        ("GET /up HTTP/1.0\r\n\r\n", "/up", "", false),
        ("GET /up HTTP/1.0\r\nconnection: Keep-Alive\r\n\r\n", "/up", "", true),
        ("POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", "/a", "abc", true),
        (
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\n",
            "/a",
            "abc",
            true,
        ),
    ];
    for (text, path, body, keep_alive) in valid {
        for length in 0..text.len() {
            let parsed = parse(&text.as_bytes()[..length], 8);
            assert!(
                matches!(parsed, Ok(Parsed::Incomplete { .. })),
                "the first {length} bytes of {text:?}"
            );
        }
        let with_next_request = format!("{text}GET / HTTP/1.1\r\n");
        let Ok(Parsed::Complete(request)) = parse(with_next_request.as_bytes(), 8) else {
            panic!("{text:?} is not parsed as complete");
        };
        assert_eq!(
            (request.path.as_str(), &request.body[..], request.keep_alive),
            (*path, body.as_bytes(), *keep_alive)
        );
        assert_eq!(request.length, text.len(), "{text:?}");
    }
    let malformed = [
        "nonsense\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ];
    for text in malformed {
        let parsed = parse(text.as_bytes(), 8);
        assert!(parsed.is_err(), "{text:?}: {parsed:?}");
    }
    let head_too_long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(MAX_HEAD_BYTES));
    assert!(parse(head_too_long.as_bytes(), 8).is_err());
}
