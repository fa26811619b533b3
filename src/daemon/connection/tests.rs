use super::*;
use crate::daemon::system::Tcp;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;

fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn post(to: SocketAddr) -> Builder {
    request(Method::POST, "/hook", to)
}

/// Guards against taking a call for one that may have run though its last byte was never written: the
/// peer takes some of a body that no buffer on the way holds whole, and breaks off.
#[test]
fn a_break_before_the_last_byte_is_known() {
    local(async {
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
        assert!(matches!(answer, Err(CallError::Unsent(_))), "{answer:?}");
    });
}

/// Guards against the opposite: read whole and then broken off, it may have run, also where the
/// connection had carried a call before.
#[test]
fn a_break_after_the_last_byte_is_known() {
    local(async {
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

/// Guards against taking for an answer what came before its request: the runtime has not seen it yet when
/// the request is about to go out, and nothing may be written to that connection any more.
#[test]
fn what_came_before_a_request_does_not_answer_it() {
    local(async {
        use std::io::{Read, Write};
        const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (again, asked) = std::sync::mpsc::channel();
        let (written, is_written) = std::sync::mpsc::channel();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut got = vec![0; 1024];
            let read = stream.read(&mut got).unwrap();
            assert!(read > 0);
            stream.write_all(ANSWER).unwrap();
            asked.recv().unwrap();
            stream.write_all(ANSWER).unwrap();
            written.send(()).unwrap();
            assert_eq!(stream.read(&mut got).unwrap_or(0), 0, "something was written");
        });
        let mut connection = Connection::open(&Tcp, address, Duration::from_secs(20)).await.unwrap();
        let first = connection.send(post(address), Bytes::new(), None).await;
        assert!(first.unwrap().into_body().collect().await.is_ok());
        // Blocking keeps the runtime from looking at its sockets meanwhile.
        again.send(()).unwrap();
        is_written.recv().unwrap();
        let second = connection.send(post(address), Bytes::new(), None).await;
        assert!(
            matches!(second, Err(CallError::Unsent(_))) && !connection.has_request_started(),
            "{second:?}"
        );
        drop(connection);
        tokio::task::spawn_blocking(|| peer.join().unwrap()).await.unwrap();
    });
}
