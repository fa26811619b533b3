use super::*;
use crate::daemon::system::Tcp;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn post(to: SocketAddr) -> Builder {
    request(Method::POST, "/hook", to)
}

/// Guards against treating a call as possibly processed although its last byte was never written: the peer
/// reads part of a body that is larger than all socket buffers, and closes the connection.
#[test]
fn reports_an_incomplete_request_when_the_peer_closes_before_its_last_byte() {
    run_local(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut [0; 100]).await.unwrap();
        };
        let mut connection = Connection::open(&Tcp, address, Duration::from_secs(20)).await.unwrap();
        let body = Bytes::from(vec![b'x'; 64 << 20]);
        let (answer, ()) = tokio::join!(connection.send(post(address), body, None), peer);
        assert!(matches!(answer, Err(CallError::IncompleteRequest(_))), "{answer:?}");
    });
}

/// Guards against treating a call as not processed although the peer read the complete request before it
/// closed the connection, also on a connection that has carried a call before.
#[test]
fn reports_a_reset_when_the_peer_closes_after_the_last_byte() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut got = Vec::new();
            for answer in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b""] {
                while !got.ends_with(b"\r\n\r\nwhole") {
                    stream.read_buf(&mut got).await.unwrap();
                }
                got.clear();
                stream.write_all(answer).await.unwrap();
            }
        };
        let calls = async {
            let mut connection = Connection::open(&Tcp, address, Duration::from_secs(20)).await.unwrap();
            let first = connection.send(post(address), "whole".into(), None).await;
            assert!(first.unwrap().into_body().collect().await.is_ok());
            connection.send(post(address), "whole".into(), None).await
        };
        let (second, ()) = tokio::join!(calls, peer);
        assert!(matches!(second, Err(CallError::Reset(_))), "{second:?}");
    });
}

/// Guards against a second response to a request that nobody notices, whether it comes together with the
/// first one or later.
#[test]
fn reports_input_on_an_idle_connection() {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for is_split in [false, true] {
        run_local(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (first_received, mut second_allowed) = tokio::sync::mpsc::unbounded_channel();
            let peer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                if is_split {
                    stream.write_all(RESPONSE).await.unwrap();
                    second_allowed.recv().await.unwrap();
                    stream.write_all(RESPONSE).await.unwrap();
                } else {
                    stream.write_all(&[RESPONSE, RESPONSE].concat()).await.unwrap();
                }
                stream.read(&mut [0; 1024]).await.unwrap_or(0)
            };
            let noticed = Arc::new(Notify::new());
            let notice = noticed.clone();
            let calls = async {
                let limit = Duration::from_secs(20);
                let mut connection =
                    Connection::open_watched(&Tcp, address, limit, move |_| notice.notify_one())
                        .await
                        .unwrap();
                let first = connection.send(post(address), Bytes::new(), None).await;
                assert!(first.unwrap().into_body().collect().await.is_ok());
                let _ = first_received.send(());
                timeout(limit, noticed.notified()).await.expect("the second response was not noticed");
                assert!(connection.is_closed());
            };
            let (sent_after_it, ()) = tokio::join!(peer, calls);
            assert_eq!(sent_after_it, 0);
        });
    }
}

/// Guards against reporting a close by the peer as input on an idle connection.
#[test]
fn reports_no_input_when_the_peer_closes_an_idle_connection() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        };
        let limit = Duration::from_secs(20);
        let calls = async {
            let report = |_: &[u8]| panic!("a close was reported as input");
            let mut connection = Connection::open_watched(&Tcp, address, limit, report).await.unwrap();
            let first = connection.send(post(address), Bytes::new(), None).await;
            assert!(first.unwrap().into_body().collect().await.is_ok());
            assert!(!timeout(limit, connection.is_alive()).await.unwrap_or(true));
        };
        tokio::join!(peer, calls);
    });
}

/// Guards against accepting bytes that arrived before a request as its response. The runtime has not read
/// them yet when the request is sent, and nothing may be written to the connection.
#[test]
fn sends_no_request_after_an_unsolicited_response() {
    run_local(async {
        use std::io::{Read, Write};
        const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send_unsolicited, unsolicited_requested) = std::sync::mpsc::channel();
        let (written, unsolicited_written) = std::sync::mpsc::channel();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut got = vec![0; 1024];
            let read = stream.read(&mut got).unwrap();
            assert!(read > 0);
            stream.write_all(RESPONSE).unwrap();
            unsolicited_requested.recv().unwrap();
            stream.write_all(RESPONSE).unwrap();
            written.send(()).unwrap();
            assert_eq!(stream.read(&mut got).unwrap_or(0), 0, "the client sent another request");
        });
        let mut connection = Connection::open(&Tcp, address, Duration::from_secs(20)).await.unwrap();
        let first = connection.send(post(address), Bytes::new(), None).await;
        assert!(first.unwrap().into_body().collect().await.is_ok());
        // Blocking the thread keeps the runtime from polling its sockets.
        send_unsolicited.send(()).unwrap();
        unsolicited_written.recv().unwrap();
        let second = connection.send(post(address), Bytes::new(), None).await;
        assert!(
            matches!(second, Err(CallError::IncompleteRequest(_))) && !connection.has_request_started(),
            "{second:?}"
        );
        drop(connection);
        tokio::task::spawn_blocking(|| peer.join().unwrap()).await.unwrap();
    });
}
