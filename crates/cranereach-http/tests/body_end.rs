//! Ends of bodies of responses, as bytes on a connection bring them about.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cranereach_http::body::BodyError;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::body_end::BodyPart;
use cranereach_http::body_end::ResponseBody;

/// What the upstream does after it has sent its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    /// Closes the connection in order.
    Closes,
    /// Resets the connection.
    Resets,
    /// Keeps the connection open until the caller closes it.
    Waits,
}

use Then::Closes;
use Then::Resets;
use Then::Waits;

/// Method of a request, version of the response, header lines, bytes after the head, what follows,
/// and the end of the body.
type Row = (
    &'static str,
    &'static str,
    &'static str,
    &'static str,
    Then,
    BodyEnd,
);

/// Responses and how their bodies end.
const ROWS: [Row; 18] = [
    (
        "GET",
        "1.1",
        "Content-Length: 3\r\n",
        "abc",
        Waits,
        BodyEnd::Declared,
    ),
    (
        "GET",
        "1.1",
        "Content-Length: 3\r\n",
        "abc",
        Closes,
        BodyEnd::Declared,
    ),
    (
        "GET",
        "1.1",
        "Content-Length: 0\r\n",
        "",
        Waits,
        BodyEnd::Declared,
    ),
    (
        "HEAD",
        "1.1",
        "Content-Length: 3\r\n",
        "",
        Waits,
        BodyEnd::Declared,
    ),
    (
        "GET",
        "1.1",
        "Content-Length: 4\r\n",
        "abc",
        Closes,
        BodyEnd::Broken,
    ),
    (
        "GET",
        "1.1",
        "Content-Length: 4\r\n",
        "abc",
        Resets,
        BodyEnd::Broken,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: chunked\r\n",
        "3\r\nabc\r\n0\r\n\r\n",
        Waits,
        BodyEnd::Declared,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: Chunked\r\n",
        "0\r\n\r\n",
        Waits,
        BodyEnd::Declared,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: x, chunked\r\n",
        "0\r\n\r\n",
        Waits,
        BodyEnd::Declared,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: chunked\r\n",
        "3\r\nabc\r\n0\r\n",
        Closes,
        BodyEnd::Broken,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: chunked\r\n",
        "3\r\nabc\r\n",
        Closes,
        BodyEnd::Broken,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: chunked\r\n",
        "3\r\nabcd\r\n",
        Waits,
        BodyEnd::Broken,
    ),
    (
        "GET",
        "1.1",
        "Transfer-Encoding: chunked, x\r\n",
        "abc",
        Closes,
        BodyEnd::Closed,
    ),
    ("GET", "1.1", "", "abc", Closes, BodyEnd::Closed),
    ("GET", "1.1", "", "", Closes, BodyEnd::Closed),
    ("GET", "1.1", "", "abc", Resets, BodyEnd::Broken),
    ("GET", "1.0", "", "abc", Closes, BodyEnd::Closed),
    (
        "GET",
        "1.0",
        "Content-Length: 4\r\n",
        "abc",
        Closes,
        BodyEnd::Broken,
    ),
];

/// Receives the head of a response to a request.
async fn respond(row: Row) -> Response<ResponseBody> {
    let (method, version, header_lines, body, then, _end) = row;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap());
    let stream = stream.await.unwrap();
    let (mut upstream, _) = listener.accept().await.unwrap();
    let text = format!("HTTP/{version} 200 OK\r\n{header_lines}\r\n{body}");
    tokio::spawn(async move {
        let mut request = [0; 1024];
        let _read = upstream.read(&mut request).await.unwrap();
        upstream.write_all(text.as_bytes()).await.unwrap();
        match then {
            Closes => drop(upstream),
            Resets => {
                SockRef::from(&upstream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
            Waits => {
                let _closed = upstream.read(&mut request).await;
            }
        }
    });
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::builder().method(method).header("host", "h");
    let request = request.body(Empty::<Bytes>::new()).unwrap();
    ResponseBody::wrap(sender.send_request(request).await.unwrap())
}

/// Guards against the absence of an error being taken for a declared end.
#[tokio::test]
async fn each_end_of_a_body_is_told_from_the_others() {
    for row in ROWS {
        let mut body = respond(row).await.into_body();
        let end = loop {
            if let BodyPart::End(end) = body.next_part().await {
                break end;
            }
        };
        assert_eq!(end, row.5, "{row:?}");
        // Bodies that come in chunks are not known to have ended by this.
        assert!(
            !body.has_reached_declared_end() || end == BodyEnd::Declared,
            "{row:?}"
        );
    }
}

/// Guards against a collected body losing how it ended, and against a broken one being collected.
#[tokio::test]
async fn a_collected_body_tells_its_end() {
    for row in ROWS {
        let collected = respond(row).await.into_body().collect(64, 60_000).await;
        match row.5 {
            BodyEnd::Broken => assert_matches!(collected, Err(BodyError::Broken), "{row:?}"),
            end => assert_eq!(collected.unwrap().end, end, "{row:?}"),
        }
    }
}
