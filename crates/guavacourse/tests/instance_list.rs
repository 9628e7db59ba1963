//! The instance list as it is read from the platform.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use guavacourse::{
    edge::platform::{HttpInstanceList, InstanceList},
    modules::partial_list::excerpt,
};
use smol::block_on;

/// Answers one request with this body, and returns the server's address.
fn serve_once(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let _ = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .expect("sent");
    });
    address
}

/// Returns a list with an odd entry between two others.
fn list_with(odd: &[u8]) -> Vec<u8> {
    let member = |name: &str| {
        format!(r#"{{"name":"{name}","role":"leaf","address":"127.0.0.1:9","state":"live"}}"#)
    };
    let (first, last) = (member("l1"), member("l2"));
    let start = format!(r#"{{"instances":[{first},"#);
    [start.as_bytes(), odd, b",", last.as_bytes(), b"]}"].concat()
}

// Guards against a list that is lost to a process because of one entry of another writer.
#[test]
fn odd_entries_leave_the_others_in_use() {
    let nested = ["[".repeat(100_000), "]".repeat(100_000)].concat();
    let long = format!(r#"{{"name":"x","role":"{}"}}"#, "é".repeat(100_000));
    let odd: [&[u8]; 10] = [
        b"7",
        b"null",
        b"{}",
        b"[]",
        br#"{"name":7}"#,
        br#"{"name":"x","role":"pump"}"#,
        br#"{"name":"x","address":"nowhere"}"#,
        b"{\"name\":\"x\xff\",\"state\":\"\xfe\"}",
        nested.as_bytes(),
        long.as_bytes(),
    ];
    for entry in odd {
        let list = HttpInstanceList::new(serve_once(list_with(entry)));
        let listing = block_on(list.list_since(""))
            .expect("read")
            .expect("a list");
        let text = String::from_utf8_lossy(entry);
        let text = excerpt(&text);
        let names: Vec<_> = listing.members.items.iter().map(|m| &m.name).collect();
        assert_eq!(names, ["l1", "l2"], "{text}");
        assert_eq!(listing.members.unreadable, 1, "{text}");
        let fault = &listing.members.fault;
        assert!((1..=200).contains(&fault.len()), "{text}: {fault}");
    }
}
