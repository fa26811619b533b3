//! Records what the client, the endpoints and the platform observe of each message, and reports violated
//! delivery rules. Overload of an endpoint that returns to service is not checked: one client's load does not
//! overload two endpoints.
use serde_json::Value;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Added to each time limit, as the times are observed through sockets.
const TOLERANCE: Duration = Duration::from_millis(50);
/// How long after a `Retry-After` response calls may still arrive.
const WAIT_SLACK: Duration = Duration::from_millis(100);
/// How long after a change of the endpoint list calls may still arrive at an endpoint that drains, also after
/// a restart.
const LIST_GRACE: Duration = Duration::from_secs(1);

/// How long after its deadline a message may still end, including delays on a busy machine.
const END_SLACK: Duration = Duration::from_millis(300 + 700);
/// How long after a restart, or after the platform receives notifications again, late ends are allowed.
const LATE_ENDS_ALLOWED_FOR: Duration = Duration::from_millis(1_500);

/// How a call ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Delivered,
    Error,
    /// 429 with `Retry-After`.
    RetryAfter(Duration),
    /// 503: the endpoint has not processed the message.
    Refused,
    /// No response that the sender can parse.
    NoResponse,
}

struct CallRecord {
    /// A duplicate of the connection's socket, to check whether the sender has closed it.
    socket: OwnedFd,
    open: bool,
}

struct Message {
    class: &'static str,
    key: String,
    /// The deadline of the delivery.
    due: Instant,
    /// The status that the client received, or `None` if it received no response.
    status: Option<u16>,
    /// The position among the accepted messages, or `None` if it was not accepted.
    accepted_order: Option<usize>,
    calls: Vec<CallRecord>,
    may_have_run: bool,
    delivered: bool,
    notified: bool,
    history: Vec<String>,
}

/// All messages of a scenario, and the violations found so far.
#[derive(Default)]
pub struct DeliveryChecker {
    started: Option<Instant>,
    messages: BTreeMap<String, Message>,
    accepted_count: usize,
    /// The start and the end of the latest wait that an endpoint requested.
    destination_wait: Option<(Instant, Instant)>,
    /// When each endpoint was listed as draining, or `None` while it is in service.
    draining_since: [Option<Instant>; 2],
    /// No end counts as late before this instant.
    late_ends_until: Option<Instant>,
    violations: Vec<String>,
}

fn is_open(call: &CallRecord) -> bool {
    let socket = SockRef::from(&call.socket);
    // The runtime's sockets are non-blocking: an open connection without data gives WouldBlock.
    call.open && socket.peek(&mut [MaybeUninit::uninit()]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

impl DeliveryChecker {
    fn log_event(&mut self, id: &str, what: String) {
        let at = self.started.get_or_insert_with(Instant::now).elapsed();
        if let Some(message) = self.messages.get_mut(id) {
            message.history.push(format!("{:.3} {what}", at.as_secs_f64()));
        }
    }

    fn record_violation(&mut self, rule: &str, id: &str, what: &str) {
        let history = self.messages.get(id).map_or(String::new(), |message| message.history.join("; "));
        self.violations.push(format!("{rule}: {id}: {what} [{history}]"));
    }

    pub fn record_submission(&mut self, id: &str, class: &'static str, key: &str, remaining: Duration) {
        let message = Message {
            class,
            key: key.to_owned(),
            due: Instant::now() + remaining,
            status: None,
            accepted_order: None,
            calls: Vec::new(),
            may_have_run: false,
            delivered: false,
            notified: false,
            history: Vec::new(),
        };
        self.messages.insert(id.to_owned(), message);
        self.log_event(id, format!("submitted, class {class}, key {key}"));
    }

    pub fn record_response(&mut self, id: &str, status: Option<u16>) {
        self.log_event(id, format!("client received status {status:?}"));
        let order = self.accepted_count;
        let Some(message) = self.messages.get_mut(id) else { return };
        message.status = status;
        if status == Some(202) {
            message.accepted_order = Some(order);
            self.accepted_count += 1;
        }
        if let Some(other) = status.filter(|status| ![202, 503].contains(status)) {
            self.record_violation("UnexpectedStatus", id, &format!("status {other}, expected 202 or 503"));
        }
    }

    /// Records a call that an endpoint has received completely, and returns its index among the calls of the
    /// message.
    pub fn record_call(&mut self, id: &str, endpoint: &str, stream: &TcpStream) -> usize {
        let now = Instant::now();
        self.log_event(id, format!("call at {endpoint}"));
        let socket = stream.as_fd().try_clone_to_owned().unwrap();
        let Some(message) = self.messages.get_mut(id) else {
            self.record_violation("SentAfterEnd", id, "a call for a message that was never submitted");
            return 0;
        };
        let concurrent = message.calls.iter().any(is_open);
        let duplicated = message.class == "unsafe" && message.may_have_run;
        let ended = message.notified;
        // A message without a response to its client may be sent; a refused one may not.
        let refused = message.status == Some(503);
        message.calls.push(CallRecord { socket, open: true });
        let (order, key) = (message.accepted_order, message.key.clone());
        let call = message.calls.len() - 1;
        for (broken, rule, what) in [
            (concurrent, "ConcurrentCalls", "an earlier call with the message is still open"),
            (duplicated, "Duplicated", "an earlier call with the unsafe message may have run"),
            (ended, "SentAfterEnd", "the platform was already notified of its end"),
            (refused, "SentAfterEnd", "its client received status 503"),
        ] {
            if broken {
                self.record_violation(rule, id, what);
            }
        }
        if self.messages[id].class == "ordered" {
            let earlier = self.messages.iter().find(|(_, other)| {
                let precedes = other.class == "ordered"
                    && other.key == key
                    && other.accepted_order.zip(order).is_some_and(|(a, b)| a < b);
                precedes && (!(other.delivered || other.notified) || other.calls.iter().any(is_open))
            });
            if let Some((earlier, _)) = earlier {
                let what = format!("the earlier message {earlier} of its key has not ended");
                self.record_violation("OutOfOrder", id, &what);
            }
        }
        if self
            .destination_wait
            .is_some_and(|(from, until)| now > from + WAIT_SLACK + TOLERANCE && now + TOLERANCE < until)
        {
            self.record_violation("RetryAfterIgnored", id, "the requested wait is not over");
        }
        let index = usize::from(endpoint == "s-2");
        if self.draining_since[index].is_some_and(|announced| now > announced + LIST_GRACE + TOLERANCE) {
            self.record_violation("SentToDraining", id, "its endpoint was listed as draining");
        }
        call
    }

    /// Records the outcome of a call just before its endpoint responds.
    pub fn record_outcome(&mut self, call: usize, id: &str, outcome: CallOutcome) {
        self.log_event(id, format!("{outcome:?}"));
        let Some(message) = self.messages.get_mut(id) else { return };
        // A sender that has closed the connection does not receive the response.
        let delivered_to_sender = is_open(&message.calls[call]);
        message.may_have_run |=
            !matches!(outcome, CallOutcome::RetryAfter(_) | CallOutcome::Refused) || !delivered_to_sender;
        let first = outcome == CallOutcome::Delivered && delivered_to_sender && Self::is_unfinished(message);
        message.delivered |= outcome == CallOutcome::Delivered && delivered_to_sender;
        message.calls[call].open = false;
        if let CallOutcome::RetryAfter(wait) = outcome
            && delivered_to_sender
        {
            let now = Instant::now();
            let until = self.destination_wait.map_or(now + wait, |(_, until)| until.max(now + wait));
            self.destination_wait = Some((now, until));
        }
        if first {
            self.check_end_in_time(id);
        }
    }

    /// Reports a message whose end comes after its deadline.
    fn check_end_in_time(&mut self, id: &str) {
        let now = Instant::now();
        let late = self.messages.get(id).is_some_and(|message| now > message.due + END_SLACK);
        if late && self.late_ends_until.is_none_or(|until| now > until) {
            self.record_violation("Lost", id, "it ended after its deadline");
        }
    }

    /// Allows late ends for a while, as a process has restarted or the platform receives notifications again.
    pub fn allow_late_ends(&mut self) {
        self.late_ends_until = Some(Instant::now() + LATE_ENDS_ALLOWED_FOR);
    }

    /// Records a restart, which ends the requested wait.
    pub fn record_restart(&mut self) {
        self.destination_wait = None;
        let ids: Vec<String> = self
            .messages
            .iter()
            .filter(|(_, m)| !m.calls.is_empty() && !m.delivered)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.log_event(&id, "restart".to_owned());
        }
    }

    /// Records which endpoints the list has in service.
    pub fn record_serving(&mut self, serving: [bool; 2]) {
        for (since, serving) in self.draining_since.iter_mut().zip(serving) {
            *since = if serving { None } else { since.or(Some(Instant::now())) };
        }
    }

    pub fn record_notification(&mut self, notification: &Value) {
        let id = notification["id"].as_str().unwrap_or_default().to_owned();
        self.log_event(&id, format!("platform notified: {}", notification["state"]));
        let Some(message) = self.messages.get_mut(&id) else {
            return self.record_violation(
                "SentAfterEnd",
                &id,
                "a notification for a message that was never submitted",
            );
        };
        let first = Self::is_unfinished(message);
        message.notified = true;
        if notification["state"] == "returned" && message.class == "unsafe" && message.may_have_run {
            self.record_violation("Duplicated", &id, "returned to the client although it may have run");
        }
        if first {
            self.check_end_in_time(&id);
        }
    }

    fn is_unfinished(message: &Message) -> bool {
        message.accepted_order.is_some() && !message.delivered && !message.notified
    }

    /// Returns whether all accepted messages have ended.
    pub fn all_finished(&self) -> bool {
        !self.messages.values().any(Self::is_unfinished)
    }

    /// Returns the accepted messages that have not ended, with their history.
    pub fn unfinished(&self) -> Vec<String> {
        let open = self.messages.iter().filter(|(_, message)| Self::is_unfinished(message));
        open.map(|(id, message)| format!("{id} [{}]", message.history.join("; "))).collect()
    }

    /// Returns the violations found since the last call.
    pub fn take_violations(&mut self) -> Vec<String> {
        std::mem::take(&mut self.violations)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use tokio::net::TcpListener;

    async fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (client, server) =
            tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
        (client.unwrap(), server.unwrap().0)
    }

    fn accept(checker: &mut DeliveryChecker, id: &str, class: &'static str) {
        checker.record_submission(id, class, "k", Duration::from_secs(5));
        checker.record_response(id, Some(202));
    }

    /// Guards against a checker that misses violations: violates each rule once.
    #[tokio::test]
    async fn reports_a_violation_of_each_rule() {
        let ((client, server), (_second, other)) = (pair().await, pair().await);
        let assert_violation = |checker: &mut DeliveryChecker, rule: &str| {
            let violations = checker.take_violations();
            assert!(violations.len() == 1 && violations[0].starts_with(rule), "{rule}: {violations:?}");
        };
        let mut checker = DeliveryChecker::default();
        accept(&mut checker, "a", "unsafe");
        let call = checker.record_call("a", "s-1", &server);
        checker.record_call("a", "s-1", &other);
        assert_violation(&mut checker, "ConcurrentCalls");
        checker.record_outcome(call, "a", CallOutcome::Error);
        checker.messages.get_mut("a").unwrap().calls.clear();
        checker.record_call("a", "s-1", &other);
        assert_violation(&mut checker, "Duplicated");
        checker.record_notification(&json!({"id": "a", "state": "returned"}));
        assert_violation(&mut checker, "Duplicated");
        let mut checker = DeliveryChecker::default();
        accept(&mut checker, "b", "ordered");
        accept(&mut checker, "c", "ordered");
        checker.record_call("c", "s-1", &server);
        assert_violation(&mut checker, "OutOfOrder");
        checker.record_submission("d", "keyed", "", Duration::from_secs(5));
        checker.record_response("d", Some(503));
        checker.record_call("d", "s-1", &server);
        assert_violation(&mut checker, "SentAfterEnd");
        let past = Instant::now() - Duration::from_secs(3);
        checker.draining_since[0] = Some(past);
        accept(&mut checker, "e", "keyed");
        checker.record_call("e", "s-1", &server);
        assert_violation(&mut checker, "SentToDraining");
        checker.destination_wait = Some((past, Instant::now() + Duration::from_secs(3)));
        accept(&mut checker, "f", "keyed");
        checker.record_call("f", "s-2", &server);
        assert_violation(&mut checker, "RetryAfterIgnored");
        assert_eq!(checker.unfinished().len(), 4, "unfinished messages");
        // An end after the deadline is reported, unless late ends are allowed.
        checker.messages.get_mut("e").unwrap().due = past;
        checker.messages.get_mut("f").unwrap().due = past;
        checker.record_notification(&json!({"id": "e", "state": "failed"}));
        assert_violation(&mut checker, "Lost");
        checker.allow_late_ends();
        checker.record_notification(&json!({"id": "f", "state": "failed"}));
        assert_eq!(checker.take_violations(), [""; 0]);
        // A call whose connection the other side has closed is not open.
        let call = CallRecord { socket: server.as_fd().try_clone_to_owned().unwrap(), open: true };
        assert!(is_open(&call));
        drop(client);
        // The close takes a moment to arrive.
        let closed = async {
            while is_open(&call) {
                tokio::task::yield_now().await
            }
        };
        tokio::time::timeout(super::super::harness::TEST_TIMEOUT, closed)
            .await
            .expect("the call still counts as open after the close");
    }
}
