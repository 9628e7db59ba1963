//! Tests what connections of callers cost their server, over real sockets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use guavacourse::{
    edge::http::{CallerAccount, Cause, Limits, serve},
    modules::caller_memory::CallerLimits,
};
use http_types::{Request, Response};
use smol::{block_on, channel};

/// Longest wait for an expected state; no result depends on it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longer than the time for which a connection is not measured by its rate.
const BEYOND_GRACE: Duration = Duration::from_secs(2);

const KB: usize = 1_024;

/// Room for one large body and some small ones.
const NARROW: CallerLimits = CallerLimits {
    bytes: 256 * KB,
    reserve: 64 * KB,
    connections: 8,
    closing: 4,
};

/// A server whose handler returns the size of the body, or as many bytes as the path says.
struct Server {
    address: SocketAddr,
    account: CallerAccount,
    runs: Arc<AtomicUsize>,
    stop: Option<channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    fn start(limits: CallerLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let account = CallerAccount::new(limits);
        let limits = Limits {
            max_body: 256 * KB,
            read_timeout: TIMEOUT,
            write_timeout: TIMEOUT,
            account: account.clone(),
            ..Limits::default()
        };
        let runs = Arc::<AtomicUsize>::default();
        let counted = Arc::clone(&runs);
        let (stop, stopped) = channel::bounded::<()>(1);
        let thread = thread::spawn(move || {
            let stopped = async {
                let _ = stopped.recv().await;
            };
            block_on(accept(listener, limits, counted).or(stopped));
        });
        Self {
            address,
            account,
            runs,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        stream
    }

    /// Opens a connection that sends these bytes.
    fn send(&self, bytes: impl AsRef<[u8]>) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(bytes.as_ref()).expect("sent");
        stream
    }

    /// Waits until a condition of the account holds.
    fn wait(&self, what: &str, condition: impl Fn(&CallerAccount) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !condition(&self.account) {
            let held = self.account.held();
            assert!(Instant::now() < end, "{what}: {held} bytes are held");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.take();
        let joined = self.thread.take().map(JoinHandle::join);
        assert!(matches!(joined, Some(Ok(()))), "the server panicked");
    }
}

async fn accept(listener: TcpListener, limits: Limits, runs: Arc<AtomicUsize>) {
    listener.set_nonblocking(true).expect("set");
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

async fn handle(mut request: Request, runs: Arc<AtomicUsize>) -> Response {
    runs.fetch_add(1, Ordering::SeqCst);
    let body = request.body_bytes().await.expect("a body");
    let mut response = Response::new(200);
    match request.url().path().trim_start_matches('/').parse() {
        Ok(size) => response.set_body(vec![b'x'; size]),
        Err(_) => response.set_body(format!("{} bytes\n", body.len())),
    }
    response
}

/// Returns a whole request with a body of this size.
fn request(path: &str, size: usize) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + size, b'b');
    bytes
}

/// Returns the request without its last byte.
fn short(size: usize) -> Vec<u8> {
    let mut bytes = request("/a", size);
    bytes.pop();
    bytes
}

/// Reads until the text contains `end`, or the connection is closed.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    let mut seen = 0;
    loop {
        let fresh = &bytes[usize::saturating_sub(seen, end.len())..];
        if fresh
            .windows(end.len())
            .any(|window| window == end.as_bytes())
        {
            break;
        }
        seen = bytes.len();
        match stream.read(&mut piece) {
            Ok(size) if size > 0 => bytes.extend_from_slice(&piece[..size]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a request that lost its room being run, or refused without a time.
#[test]
fn a_body_that_gives_way_is_refused_and_never_runs() {
    let server = Server::start(NARROW);
    let mut still = server.send(short(120 * KB));
    server.wait("the first body", |account| account.held() > 100 * KB);
    thread::sleep(BEYOND_GRACE);
    let mut next = server.send(request("/a", 80 * KB));
    assert!(read_until(&mut next, "bytes").contains("81920 bytes"));
    let refused = read_until(&mut still, "later");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    assert_eq!(server.runs.load(Ordering::SeqCst), 1);
    assert_eq!(server.account.count(Cause::Memory), 1);
}

/// Guards against a kept-alive connection keeping the memory of its largest body.
#[test]
fn an_idle_connection_holds_nothing_after_a_large_body() {
    let server = Server::start(CallerLimits::UNLIMITED);
    let mut stream = server.send(request("/a", 200 * KB));
    assert!(read_until(&mut stream, "bytes").contains("204800 bytes"));
    server.wait("idle", |account| account.held() == 0);
    stream.write_all(&request("/a", 1)).expect("sent");
    assert!(read_until(&mut stream, "bytes").contains("1 bytes"));
}

/// Guards against requests read ahead taking more than a fixed amount, and against their
/// answers coming out of order.
#[test]
fn requests_sent_ahead_are_bounded_and_answered_in_order() {
    let server = Server::start(CallerLimits::UNLIMITED);
    let mut stream = server.connect();
    let mut sender = stream.try_clone().expect("cloned");
    let writer = thread::spawn(move || {
        // Does not end before the answers are read.
        let _ = sender.write_all(&request("/8000000", 0));
        for size in 0..300 {
            let _ = sender.write_all(&request("/a", size * 100));
        }
    });
    server.wait("the first answer", |account| account.held() > 7_000_000);
    thread::sleep(Duration::from_millis(200));
    let ahead = server.account.held() - 8_000_000;
    assert!(ahead <= 32 * KB, "{ahead} bytes were read ahead");
    let text = read_until(&mut stream, "29900 bytes\n");
    let sizes: Vec<_> = text
        .lines()
        .filter(|line| line.contains(" bytes"))
        .collect();
    let expected: Vec<_> = (0..300)
        .map(|size| format!("{} bytes", size * 100))
        .collect();
    let sizes: Vec<_> = sizes
        .iter()
        .map(|line| line.trim_start_matches('x').to_owned())
        .collect();
    assert_eq!(sizes, expected);
    writer.join().expect("no panic");
}

/// Guards against the framing of chunks being held.
#[test]
fn chunks_of_one_byte_are_charged_for_their_data() {
    let server = Server::start(CallerLimits::UNLIMITED);
    let head = "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = server.send(format!("{head}{}", "1\r\nb\r\n".repeat(60 * KB)));
    server.wait("the chunks", |account| account.held() >= 60 * KB);
    thread::sleep(Duration::from_millis(200));
    let charged = server.account.held();
    assert!(charged <= 80 * KB, "{charged} bytes are held");
    stream.write_all(b"0\r\n\r\n").expect("sent");
    assert!(read_until(&mut stream, "bytes").contains("61440 bytes"));
}

/// Guards against a chunk's announced size being reserved before its bytes arrive.
#[test]
fn a_large_chunk_is_charged_as_it_arrives() {
    let server = Server::start(CallerLimits::UNLIMITED);
    let head = "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let _stream = server.send(format!("{head}3fff0\r\nb"));
    server.wait("the head", |account| account.held() > 0);
    thread::sleep(Duration::from_millis(100));
    assert!(server.account.held() <= 8 * KB);
}

/// Guards against a body over the limit being read to the end, and refused only then.
#[test]
fn chunks_that_announce_too_much_are_refused_before_their_bytes_arrive() {
    let server = Server::start(CallerLimits::UNLIMITED);
    let head = "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let bodies = [
        "40001\r\nb".to_owned(),
        format!("3ffff\r\n{}\r\n2\r\n", "b".repeat(256 * KB - 1)),
        "1\r\nb\r\nffffffffffffffff\r\n".to_owned(),
    ];
    for body in bodies {
        let mut stream = server.send(format!("{head}{body}"));
        let refused = read_until(&mut stream, "smaller one");
        assert!(refused.starts_with("HTTP/1.1 413"), "{refused}");
    }
    assert_eq!(server.runs.load(Ordering::SeqCst), 0);
}

/// Guards against a caller outranking others by framing: only its body is progress.
#[test]
fn framing_is_no_progress() {
    let server = Server::start(NARROW);
    let head = "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut body = server.send(short(80 * KB));
    let mut framing = server.send(format!("{head}{}", "1;a=b\r\nb\r\n".repeat(44 * KB)));
    server.wait("both", |account| account.held() >= 124 * KB);
    thread::sleep(BEYOND_GRACE);
    let mut next = server.send(request("/a", 36 * KB));
    assert!(read_until(&mut next, "bytes").contains("36864 bytes"));
    assert!(read_until(&mut framing, "later").starts_with("HTTP/1.1 503"));
    body.write_all(b"b").expect("sent");
    assert!(read_until(&mut body, "bytes").contains("81920 bytes"));
}

/// Guards against a chunked body that is cut at any byte being decoded differently.
#[test]
fn chunks_that_arrive_in_pieces_are_decoded_alike() {
    let server = Server::start(CallerLimits::UNLIMITED);
    let head =
        "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n";
    let cases = [
        (
            "3\r\nabc\r\n1;x=y\r\nd\r\n00A\r\n0123456789\r\n0\r\n\r\n",
            "14 bytes",
        ),
        ("3\r\nabcd\r\n0\r\n\r\n", "400"),
        ("3\r\nabc\r\n0\r\nA: b\r\n\r\n", "400"),
        ("zz\r\nabc\r\n0\r\n\r\n", "400"),
        ("ffffffffffffffffff\r\nabc", "400"),
    ];
    for (body, expected) in cases {
        for cut in 0..body.len() {
            let mut stream = server.connect();
            stream.set_nodelay(true).expect("set");
            let (first, rest) = body.split_at(cut);
            stream
                .write_all(format!("{head}{first}").as_bytes())
                .expect("sent");
            thread::sleep(Duration::from_millis(2));
            let _ = stream.write_all(rest.as_bytes());
            let answer = read_until(&mut stream, "\n\n");
            assert!(answer.contains(expected), "{body:?} cut at {cut}: {answer}");
        }
    }
}

/// Guards against an answer that nobody reads keeping its memory while others need it.
#[test]
fn an_unread_answer_gives_way() {
    let server = Server::start(CallerLimits {
        bytes: 24_000 * KB,
        reserve: 0,
        ..NARROW
    });
    let _unread = server.send(request("/16000000", 0));
    server.wait("the answer", |account| account.held() > 15_000_000);
    thread::sleep(BEYOND_GRACE);
    let _second = server.send(request("/16000000", 0));
    server.wait("the first gives way", |account| {
        account.count(Cause::Memory) == 1
    });
    server.wait("its memory is free", |account| account.held() < 17_000_000);
}

/// Guards against silent connections taking the places of callers that send requests.
#[test]
fn a_caller_is_served_while_all_places_are_silent() {
    let server = Server::start(NARROW);
    let silent: Vec<_> = (0..100).map(|_| server.connect()).collect();
    let mut stream = server.send(request("/a", 5));
    assert!(read_until(&mut stream, "bytes").contains("5 bytes"));
    server.wait("the silent ones close", |account| {
        account.connections() <= NARROW.connections
    });
    assert_eq!(server.account.count(Cause::Connections), 93);
    drop(silent);
}
