//! Tests of the time limits of a connection, in paused time.
use super::*;
use crate::daemon::ingress::{Closable, ConnectionLimits, text_response};
use crate::daemon::ports::Log;
use crate::daemon::runtime_checks::Violations;
use std::io;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, DuplexStream, ReadBuf, duplex};
use tokio::time::sleep;

const HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct NoLog;

impl Log for NoLog {
    fn line(&self, _: &str) {}
}

struct TestStream(DuplexStream);

impl AsyncRead for TestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for TestStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Stream for TestStream {
    fn check_no_unread_input(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Serves a connection that sends the parts, each after a delay, and returns all responses.
async fn responses_to(parts: &[(Duration, &[u8])]) -> String {
    let (mut client, server) = duplex(4096);
    let state = WatchCell::new(ListenerState::Accepting);
    let unanswered = UnansweredRequests::new("ingress", Rc::new(NoLog), state.clone(), Violations::default());
    let settings = ConnectionSettings {
        head_timeout: HEAD_TIMEOUT,
        max_head_bytes: 16 * 1024,
        keep_alive: true,
        state,
        unanswered: Rc::new(unanswered),
    };
    let limits = ConnectionLimits::new(1, 1024, Closable::Idle, Duration::ZERO);
    let permit = limits.admit().await.unwrap();
    let serving =
        serve(Box::new(TestStream(server)), permit, &settings, async |_| text_response(StatusCode::OK, ""));
    let sending = async move {
        for (delay, part) in parts {
            sleep(*delay).await;
            client.write_all(part).await.unwrap();
        }
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        received
    };
    tokio::join!(serving, sending).1
}

/// Guards against a request without its response because its head begins shortly before its connection would
/// be closed as idle.
#[tokio::test(start_paused = true)]
async fn a_head_that_begins_at_the_end_of_the_idle_time_may_arrive_completely() {
    let (first, second) = REQUEST.split_at(9);
    let parts = [(HEAD_TIMEOUT - Duration::from_millis(10), first), (Duration::from_millis(200), second)];
    let received = responses_to(&parts).await;
    assert!(received.starts_with("HTTP/1.1 200"), "{received:?}");
}

/// Guards against a head that is waited for without end, and against closing its connection with no response.
#[tokio::test(start_paused = true)]
async fn an_incomplete_head_is_rejected_and_an_idle_connection_closed() {
    let started_at = Instant::now();
    let received = responses_to(&[(Duration::from_secs(1), &REQUEST[..9])]).await;
    assert!(received.starts_with("HTTP/1.1 408"), "{received:?}");
    assert!(started_at.elapsed() < HEAD_TIMEOUT + MIN_HEAD_TIMEOUT, "{:?}", started_at.elapsed());
    assert_eq!(responses_to(&[]).await, "");
}

/// Guards against a connection that is closed too early because its time limits count from its first request.
#[tokio::test(start_paused = true)]
async fn the_time_limits_start_again_with_each_response() {
    let gap = Duration::from_millis(1900);
    let received = responses_to(&[(gap, REQUEST), (gap, REQUEST), (gap, REQUEST)]).await;
    assert_eq!(received.matches("HTTP/1.1 200").count(), 3, "{received:?}");
}
