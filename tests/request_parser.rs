//! Requests of HTTP/1.1 as a connection brings them.

use cypressgap::net::request_parser::{parse, Parsed, MAX_HEAD_BYTES};

/// Guards against requests split anywhere, and against lengths that lie.
#[test]
fn requests_are_parsed_however_they_are_cut() {
    let whole: &[(&str, &str, &str, bool)] = &[
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
    for (text, path, body, keep) in whole {
        for cut in 0..text.len() {
            let part = parse(&text.as_bytes()[..cut], 8);
            assert!(
                matches!(part, Ok(Parsed::Incomplete { .. })),
                "{text:?} cut at {cut}"
            );
        }
        let next = format!("{text}GET / HTTP/1.1\r\n");
        let Ok(Parsed::Complete(request)) = parse(next.as_bytes(), 8) else {
            panic!("{text:?} is whole");
        };
        assert_eq!(
            (request.path.as_str(), &request.body[..], request.keep_alive),
            (*path, body.as_bytes(), *keep)
        );
        assert_eq!(request.length, text.len(), "{text:?}");
    }
    let bad = [
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
    for text in bad {
        let found = parse(text.as_bytes(), 8);
        assert!(found.is_err(), "{text:?}: {found:?}");
    }
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(MAX_HEAD_BYTES));
    assert!(parse(long.as_bytes(), 8).is_err());
}
