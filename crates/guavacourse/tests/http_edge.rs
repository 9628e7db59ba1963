//! Tests the HTTP server and client with invalid, slow and truncated input.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use futures_lite::FutureExt;
use guavacourse::edge::http::{
    Connection, ExchangeError, Limits, MAX_HEAD_BYTES, call, json_response, serve,
};
use http_types::{Method, Request, Response, Url};
use smol::{Timer, block_on, channel};

const TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST: &str = "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi";

/// Counts the handler's runs: how many started, finished and ended.
#[derive(Debug, Default)]
struct RunCounts {
    started: AtomicUsize,
    finished: AtomicUsize,
    ended: AtomicUsize,
}

impl RunCounts {
    fn counts(&self) -> [usize; 3] {
        [&self.started, &self.finished, &self.ended].map(|n| n.load(Ordering::SeqCst))
    }
}

/// Counts a run as ended when it is dropped, also if it was cancelled.
struct RunGuard(Arc<RunCounts>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::SeqCst);
    }
}

/// Size of a response body that is too large for any socket buffer, in bytes.
const HUGE_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A server whose handler echoes the path and the body; `/never` does not answer,
/// `/soon` answers after 20 ms, and `/huge` answers with [`HUGE_BODY_BYTES`] bytes
/// and ends its run when the response is dropped.
struct Server {
    addr: SocketAddr,
    runs: Arc<RunCounts>,
    stop: Option<channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    fn start() -> Self {
        Self::with_limits(Limits::default())
    }

    fn with_limits(limits: Limits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let runs = Arc::new(RunCounts::default());
        let (stop, stopped) = channel::bounded::<()>(1);
        let run_counts = Arc::clone(&runs);
        let thread = std::thread::spawn(move || {
            let stopped = async {
                let _ = stopped.recv().await;
            };
            block_on(accept(listener, limits, run_counts).or(stopped));
        });
        Self {
            addr,
            runs,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("connected");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("read timeout set");
        stream
    }

    /// Sends bytes and returns everything received until the server closes.
    fn send(&self, bytes: impl AsRef<[u8]>) -> String {
        let mut stream = self.connect();
        // The server must read all bytes even after an error: a reset of the
        // connection could destroy its response.
        stream.write_all(bytes.as_ref()).expect("sent whole");
        read_all(stream)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.take();
        let joined = self.thread.take().map(JoinHandle::join);
        assert!(matches!(joined, Some(Ok(()))), "the server panicked");
    }
}

async fn accept(listener: TcpListener, limits: Limits, runs: Arc<RunCounts>) {
    listener
        .set_nonblocking(true)
        .expect("non-blocking mode set");
    let listener = smol::net::TcpListener::try_from(listener).expect("registered");
    let executor = smol::LocalExecutor::new();
    let accept = async {
        loop {
            let (stream, _) = listener.accept().await.expect("accepted");
            let (limits, runs) = (limits.clone(), Arc::clone(&runs));
            let served = async move {
                let _ = serve(stream, limits, |request| handle(request, Arc::clone(&runs))).await;
            };
            executor.spawn(served).detach();
        }
    };
    executor.run(accept).await;
}

async fn handle(mut request: Request, runs: Arc<RunCounts>) -> Response {
    let run = RunGuard(runs);
    run.0.started.fetch_add(1, Ordering::SeqCst);
    let path = request.url().path().to_owned();
    match path.as_str() {
        "/never" => futures_lite::future::pending().await,
        "/soon" => Timer::after(Duration::from_millis(20)).await,
        _ => std::time::Instant::now(),
    };
    let body = request.body_string().await.expect("UTF-8");
    run.0.finished.fetch_add(1, Ordering::SeqCst);
    if path == "/huge" {
        let mut response = Response::new(200);
        response.set_body(vec![0; HUGE_BODY_BYTES]);
        response.ext_mut().insert(run);
        return response;
    }
    json_response(200, &format!("{path} {body}"))
}

fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let result = stream.read_to_end(&mut bytes);
    let mut text = String::from_utf8(bytes).expect("UTF-8");
    if let Err(error) = result {
        text += &error.to_string();
    }
    text
}

/// Returns the status line and body of each response in `text`.
fn summary(text: &str) -> String {
    let lines = text.lines().filter(|line| {
        let header = line
            .split_once(": ")
            .is_some_and(|(name, _)| name.bytes().all(|b| b.is_ascii_lowercase() || b == b'-'));
        !line.is_empty() && !header
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn head(lines: &str) -> String {
    format!("POST /a HTTP/1.1\r\n{lines}\r\n\r\n")
}

#[test]
fn bad_heads() {
    let server = Server::start();
    let cases = [
        head("host: x\r\ncontent-length: 2\r\ncontent-length: 2") + "hi",
        head("host: x\r\ncontent-length: 2\r\ncontent-length: 1") + "hi",
        head("host: x\r\ncontent-length: 2, 2") + "hi",
        head("host: x\r\ncontent-length: +2") + "hi",
        head("host: x\r\ncontent-length: -1"),
        head("host: x\r\ncontent-length: 99999999999999999999"),
        head("host: x\r\ncontent-length:"),
        head("host: x\r\ncontent-length: 2\r\ntransfer-encoding: chunked") + "0\r\n\r\n",
        head("host: x\r\ntransfer-encoding: gzip, chunked") + "0\r\n\r\n",
        head("host: x\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked") + "0\r\n\r\n",
        head("host: x\r\ntransfer-encoding: chunked") + "2\r\nhi0\r\n\r\n",
        head("host: x\r\ntransfer-encoding: chunked") + "+2\r\nhi\r\n0\r\n\r\n",
        head("host: x\r\ntransfer-encoding: chunked") + "0\r\nlate: 1\r\n\r\n",
        head("content-length: 0"),
        head("host: x\r\nhost: y"),
        head("host: x\r\nbad header: 1"),
        head("host: x\r\n folded: 1"),
        "POST /a HTTP/1.0\r\nhost: x\r\n\r\n".to_owned(),
        "POST /a HTTP/2.0\r\nhost: x\r\n\r\n".to_owned(),
        "POST a HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "POST http://x/a HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "POST * HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "POST /a b HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "FETCH /a HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "\r\n\r\n\r\n".to_owned(),
        "\u{1}\u{2}\r\n\r\n".to_owned(),
        "POST /a HTTP/1.1\nhost: x\n\nPOST /b HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
    ];
    let seen = cases.map(|case| {
        let answer = summary(&server.send(&case));
        format!("{}\n{answer}", case.escape_debug())
    });
    insta::assert_snapshot!(seen.join("\n\n"));
    assert_eq!(server.runs.counts(), [0, 0, 0]);
}

#[test]
fn long_head() {
    let server = Server::start();
    let short = head(&format!(
        "host: x\r\nconnection: close\r\nlong: {}",
        "y".repeat(4000)
    ));
    assert!(server.send(short).starts_with("HTTP/1.1 200 "));
    for len in [MAX_HEAD_BYTES, 2000 * MAX_HEAD_BYTES] {
        let long = head(&format!("host: x\r\nlong: {}", "y".repeat(len)));
        let answer = server.send(long);
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
        assert!(
            answer.ends_with("send fewer or shorter headers\"}"),
            "{answer}"
        );
    }
    let many = head(&format!("host: x{}", "\r\na: 1".repeat(65)));
    assert!(server.send(many).starts_with("HTTP/1.1 400 "));
    assert_eq!(server.runs.counts(), [1, 1, 1]);
}

#[test]
fn chunked_requests() {
    let server = Server::start();
    let chunked = |body: &str| {
        let fields = "host: x\r\nconnection: close\r\ntransfer-encoding: chunked";
        head(fields) + body
    };
    let whole = server.send(chunked("1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"));
    assert!(whole.starts_with("HTTP/1.1 200 "), "{whole}");
    let runs = server.runs.counts();
    let mut stream = server.connect();
    let bytes = chunked("1\r\nh\r\n1\r\ni");
    stream.write_all(bytes.as_bytes()).expect("sent");
    stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(
        (read_all(stream).as_str(), server.runs.counts()),
        ("", runs)
    );
}

#[test]
fn long_body() {
    let limits = Limits {
        max_body: 1000,
        ..Limits::default()
    };
    let server = Server::with_limits(limits);
    let send = |len: usize, lines: &str| {
        let lines = format!("host: x\r\nconnection: close\r\ncontent-length: {len}{lines}");
        server.send(head(&lines) + &"x".repeat(len))
    };
    assert!(send(1000, "").starts_with("HTTP/1.1 200 "));
    for len in [1001, 10_000, 20_000_000] {
        let answer = send(len, "");
        assert!(answer.starts_with("HTTP/1.1 413 "), "{len}: {answer}");
        assert!(answer.ends_with("send a smaller one\"}"), "{answer}");
    }
    let answer = send(1001, "\r\nexpect: 100-continue");
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    let answer = send(10, "\r\nexpect: 100-continue");
    assert!(
        answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "),
        "{answer}"
    );
    assert_eq!(server.runs.counts(), [2, 2, 2]);
}

#[test]
fn truncated_requests() {
    let server = Server::start();
    for len in 1..REQUEST.len() {
        let mut stream = server.connect();
        stream.write_all(&REQUEST.as_bytes()[..len]).expect("sent");
        stream.shutdown(Shutdown::Write).expect("shut down");
        assert_eq!(read_all(stream), "", "after {len} bytes");
    }
    assert_eq!(server.runs.counts(), [0, 0, 0]);
}

#[test]
fn slow_sender() {
    let limits = Limits {
        read_timeout: Duration::from_millis(100),
        ..Limits::default()
    };
    let server = Server::with_limits(limits);
    for len in [1, 20, REQUEST.len() - 1] {
        let mut stream = server.connect();
        stream.write_all(&REQUEST.as_bytes()[..len]).expect("sent");
        let answer = read_all(stream);
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    }
    assert_eq!(server.runs.counts(), [0, 0, 0]);
}

#[test]
fn request_sent_byte_by_byte() {
    let server = Server::start();
    let mut stream = server.connect();
    stream.set_nodelay(true).expect("no-delay set");
    let whole = REQUEST.replace("host: x", "host: x\r\nconnection: close");
    for byte in whole.as_bytes() {
        stream.write_all(&[*byte]).expect("sent");
        stream.flush().expect("sent");
    }
    insta::assert_snapshot!(summary(&read_all(stream)), @r#"
    HTTP/1.1 200 OK
    "/a hi"
    "#);
}

#[test]
fn idle_connection() {
    let limits = Limits {
        idle_timeout: Duration::from_millis(100),
        ..Limits::default()
    };
    let server = Server::with_limits(limits);
    assert_eq!(read_all(server.connect()), "");
}

#[test]
fn pipelined_requests() {
    let server = Server::start();
    let second = REQUEST.replace("/a", "/b");
    let last = REQUEST.replace("/a HTTP/1.1", "/soon HTTP/1.1\r\nconnection: close");
    let answer = server.send(format!("{REQUEST}{second}{last}"));
    insta::assert_snapshot!(summary(&answer));
}

#[test]
fn kept_alive_after_slow_answers() {
    let server = Server::start();
    let url = Url::parse(&format!("http://{}/soon", server.addr)).expect("a URL");
    block_on(async {
        let mut connection = Connection::open(server.addr).await.expect("connected");
        for i in 0..3 {
            let mut request = Request::new(Method::Post, url.clone());
            request.set_body(i.to_string());
            let mut response = connection.exchange(request).await.expect("a response");
            let body = response.body_string().await.expect("UTF-8");
            assert_eq!(body, format!("\"/soon {i}\""));
            assert!(connection.reusable());
        }
    });
}

#[test]
fn pipelined_during_slow_answer() {
    let server = Server::start();
    let mut stream = server.connect();
    let slow = REQUEST.replace("/a", "/soon");
    stream.write_all(slow.as_bytes()).expect("sent");
    while server.runs.counts()[0] == 0 {
        std::thread::yield_now();
    }
    let (first, rest) = REQUEST.split_at(20);
    stream.write_all(first.as_bytes()).expect("sent");
    std::thread::sleep(Duration::from_millis(5));
    stream.write_all(rest.as_bytes()).expect("sent");
    let last = REQUEST.replace("/a HTTP/1.1", "/b HTTP/1.1\r\nconnection: close");
    stream.write_all(last.as_bytes()).expect("sent");
    insta::assert_snapshot!(summary(&read_all(stream)));
}

#[test]
fn close_among_tokens() {
    let server = Server::start();
    let lines = "host: x\r\nconnection: keep-alive, Close";
    let answer = server.send(head(lines));
    assert!(answer.contains("connection: close"), "{answer}");
}

#[test]
fn caller_disconnects() {
    let server = Server::start();
    for (i, starts_next) in [false, true].into_iter().enumerate() {
        let mut stream = server.connect();
        let never = REQUEST.replace("/a", "/never");
        stream.write_all(never.as_bytes()).expect("sent");
        while server.runs.counts()[0] <= i {
            std::thread::yield_now();
        }
        if starts_next {
            // The start of another request that the caller never finishes.
            stream.write_all(b"POST").expect("sent");
        }
        drop(stream);
        while server.runs.counts()[2] <= i {
            std::thread::yield_now();
        }
    }
    assert_eq!(server.runs.counts(), [2, 0, 2]);
}

#[test]
fn bad_connections_do_not_affect_others() {
    let server = Server::start();
    let mut connections = Vec::new();
    for bytes in ["", "POST", "\u{1}\r\n\r\n", &REQUEST[..REQUEST.len() - 1]] {
        for _ in 0..10 {
            let mut stream = server.connect();
            stream.write_all(bytes.as_bytes()).expect("sent");
            connections.push(stream);
        }
    }
    let closing = REQUEST.replace("host: x", "host: x\r\nconnection: close");
    for _ in 0..20 {
        assert!(server.send(&closing).starts_with("HTTP/1.1 200 "));
    }
    drop(connections);
    assert!(server.send(&closing).starts_with("HTTP/1.1 200 "));
    assert_eq!(server.runs.counts(), [21, 21, 21]);
}

/// Replies to one request with `bytes` and closes the connection. Returns the
/// client's result.
fn exchange_with_reply(bytes: &str) -> Result<Response, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (mut stream, _) = listener.accept().expect("accepted");
            let mut request = [0; 1024];
            let len = stream.read(&mut request).expect("a request");
            assert!(len > 0);
            stream.write_all(bytes.as_bytes()).expect("sent");
        });
        let url = Url::parse(&format!("http://{addr}/")).expect("a URL");
        block_on(call(addr, Request::new(Method::Get, url), TIMEOUT))
    })
}

#[test]
fn truncated_responses() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    for len in 0..whole.len() {
        let result = exchange_with_reply(&whole[..len]);
        assert!(
            matches!(result, Err(ExchangeError::Closed(_))),
            "{len}: {result:?}"
        );
    }
    let mut response = exchange_with_reply(whole).expect("a whole response");
    let body = block_on(response.body_string()).expect("UTF-8");
    assert_eq!(body, "hi");
}

#[test]
fn response_is_held_until_it_is_written() {
    let server = Server::start();
    let mut stream = server.connect();
    let request = "GET /huge HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("sent");
    // The first byte arrives before the last one is written.
    assert!(stream.read(&mut [0]).is_ok_and(|n| n == 1));
    assert_eq!(server.runs.counts(), [1, 1, 0]);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("whole");
    assert!(rest.len() > HUGE_BODY_BYTES);
    while server.runs.counts() != [1, 1, 1] {
        std::thread::yield_now();
    }
}

#[test]
fn chunked_responses() {
    let whole =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nh\r\n1;a=b\r\ni\r\n0\r\n\r\n";
    for len in 0..whole.len() {
        let result = exchange_with_reply(&whole[..len]);
        assert!(
            matches!(result, Err(ExchangeError::Closed(_))),
            "{len}: {result:?}"
        );
    }
    let mut response = exchange_with_reply(whole).expect("a whole response");
    let body = block_on(response.body_string()).expect("UTF-8");
    assert_eq!(body, "hi");
}

#[test]
fn bad_responses() {
    let cases = [
        "HTTP/1.1 200 OK\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi0\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 abc\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 999 Odd\r\ncontent-length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\ncontent-length: 0\n\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi",
    ];
    let seen = cases.map(|case| {
        let error = exchange_with_reply(case).expect_err("refused");
        format!("{}\n{error}", case.escape_debug())
    });
    insta::assert_snapshot!(seen.join("\n\n"));
}

#[test]
fn size_lines_of_chunks_are_bounded() {
    let reply = |extension: usize| {
        let text = ";".repeat(extension);
        exchange_with_reply(&format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2{text}\r\nhi\r\n0\r\n\r\n"
        ))
    };
    assert!(reply(1_021).is_ok());
    assert!(matches!(reply(1_022), Err(ExchangeError::Malformed(_))));
    assert!(matches!(reply(100_000), Err(ExchangeError::Malformed(_))));
}

// Guards against a response that is lost because of one header.
#[test]
fn a_header_that_is_not_ascii_leaves_the_others_in_use() {
    let reply = "HTTP/1.1 200 OK\r\nx-note: é\r\nversion: 7\r\ncontent-length: 2\r\n\r\nhi";
    let response = exchange_with_reply(reply).expect("a response");
    assert_eq!(response.header("version").expect("kept").as_str(), "7");
    assert!(response.header("x-note").is_none());
}

#[test]
fn unreachable_server() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    drop(listener);
    let url = Url::parse(&format!("http://{addr}/")).expect("a URL");
    let refused = block_on(call(addr, Request::new(Method::Get, url), TIMEOUT));
    assert!(matches!(refused, Err(ExchangeError::Unreachable(_))));
}

#[test]
fn surplus_response() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted");
        let mut request = [0; 1024];
        let len = stream.read(&mut request).expect("a request");
        assert!(len > 0);
        let one = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
        stream
            .write_all(format!("{one}{one}").as_bytes())
            .expect("sent");
        let _ = stream.read(&mut request);
    });
    let url = Url::parse(&format!("http://{addr}/")).expect("a URL");
    block_on(async {
        let mut connection = Connection::open(addr).await.expect("connected");
        let request = Request::new(Method::Get, url);
        connection.exchange(request).await.expect("the first");
        assert!(!connection.reusable());
    });
    server.join().expect("no panic");
}
