//! Upstreams that send anything, for as long as the client reads it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use cranereach_http::head_limit::HEAD_MAX_BYTES;
use cranereach_http::meter::Meter;
use cranereach_http::meter::Side;
use cranereach_http::pool::Pool;

/// Largest body that is read, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Time after which a read of a body is given up, in milliseconds; no case reaches it.
const READ_TIMEOUT_MS: u64 = 600_000;

/// Time after which a call counts as one that never ends.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// Most bytes that the client reads of one answer: the head, the body, and what its buffers hold.
const READ_MAX_BYTES: u64 = HEAD_MAX_BYTES + 4 * BODY_MAX_BYTES as u64;

/// Generates what an upstream sends first, and what it then repeats without end.
fn any_answer() -> impl Strategy<Value = (Vec<Vec<u8>>, Vec<u8>)> {
    let piece = prop_oneof![
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
        Just(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"Content-Length: 1000000000\r\n".to_vec()),
        Just(b"Content-Length: 5\r\n".to_vec()),
        Just(b"X-Any: ".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"ffff\r\n".to_vec()),
        Just(b"5;extension=".to_vec()),
        Just(b"0\r\n".to_vec()),
        Just(b"data: piece\n\n".to_vec()),
        vec(any::<u8>(), 1..20),
    ];
    let endless = piece.clone();
    (vec(piece, 0..8), endless)
}

/// Sends an answer, then repeats its last part until the client closes.
async fn serve(listener: TcpListener, first: Vec<Vec<u8>>, endless: Vec<u8>) {
    let Ok((mut stream, _)) = listener.accept().await else {
        return;
    };
    let mut request = [0; 4_096];
    let _read = stream.read(&mut request).await;
    let mut sent = stream.write_all(&first.concat()).await;
    let part = endless.repeat(16 * 1024 / endless.len());
    while sent.is_ok() {
        sent = stream.write_all(&part).await;
    }
}

/// Calls the upstream once and reads the answer, whatever it is.
async fn call(address: &str, meter: &Arc<Meter>) {
    let pool: Pool<Full<Bytes>> = Pool::new(address).with_meter(meter, Side::Workers);
    let mut connection = pool.make().await.unwrap();
    let request = Request::get("/").header("host", "h").body(Full::default());
    if let Ok(response) = connection.send(request.unwrap()).await {
        let body = response.into_body();
        // Any result will do, as long as there is one.
        let _collected = body.collect(BODY_MAX_BYTES, READ_TIMEOUT_MS).await;
    }
}

proptest! {
    #![proptest_config(Config { cases: 200, ..Config::default() })]

    /// Guards against calls that don't end, panics, and memory without bound, whatever an upstream
    /// sends without end.
    #[test]
    fn every_call_ends_within_bounds((first, endless) in any_answer()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap().to_string();
            let upstream = tokio::spawn(serve(listener, first, endless));
            let meter = Arc::new(Meter::default());
            let ended = tokio::time::timeout(HANG_TIMEOUT, call(&address, &meter)).await;
            ended.expect("the call ends");
            // Ends once the connection is closed.
            upstream.await.unwrap();
            let read_bytes = meter.received_bytes();
            assert!(read_bytes <= READ_MAX_BYTES, "{read_bytes}");
        });
    }
}
