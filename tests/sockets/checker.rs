//! What a client, endpoints and the platform saw of each message, and which of the rules that breaks. One process at a time
//! works on the messages; it is not judged whether a returning endpoint is pushed over, as two endpoints bear all that one
//! client sends here.
use serde_json::Value;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// On sockets each limit of time is so much longer; calls that come within this of a wait are let through.
const TOLERANCE: Duration = Duration::from_millis(50);
const WAIT_SLACK: Duration = Duration::from_millis(100);
/// The grace of a drain, and until a change of the list counts as heard by a process that has begun anew meanwhile.
const GRACE: Duration = Duration::from_secs(1);

/// How long after its time is up a message may still end, with what a busy machine takes besides.
const LATE: Duration = Duration::from_millis(300 + 700);
/// For so long after a process is ready again no notice is overdue.
const AFTER_READY: Duration = Duration::from_millis(1_500);

/// How a call ended, as its endpoint told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Delivered,
    Error,
    Wait(Duration),
    Refused,
    /// Nothing that can be read.
    Nothing,
}

struct Call {
    /// The connection, for a look at whether the other side has closed it.
    socket: OwnedFd,
    open: bool,
}

struct Message {
    class: &'static str,
    key: String,
    /// When its time is up.
    due: Instant,
    /// What the client heard; none while it has heard nothing.
    status: Option<u16>,
    /// Its place among those that were taken on.
    taken: Option<usize>,
    calls: Vec<Call>,
    may_have_run: bool,
    delivered: bool,
    noticed: bool,
    history: Vec<String>,
}

/// All messages of a day.
#[derive(Default)]
pub struct Ledger {
    begun: Option<Instant>,
    messages: BTreeMap<String, Message>,
    taken: usize,
    /// A wait that was told, from when and until when it binds.
    wait: Option<(Instant, Instant)>,
    /// When an endpoint was told to be draining.
    drains: [Option<Instant>; 2],
    /// Until then nothing is overdue.
    excused: Option<Instant>,
    wrong: Vec<String>,
}

fn is_open(call: &Call) -> bool {
    let socket = SockRef::from(&call.socket);
    // Sockets of the runtime do not block.
    call.open && socket.peek(&mut [MaybeUninit::uninit()]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

impl Ledger {
    fn note(&mut self, id: &str, what: String) {
        let at = self.begun.get_or_insert_with(Instant::now).elapsed();
        if let Some(message) = self.messages.get_mut(id) {
            message.history.push(format!("{:.3} {what}", at.as_secs_f64()));
        }
    }

    fn broke(&mut self, rule: &str, id: &str, what: &str) {
        let history = self.messages.get(id).map_or(String::new(), |message| message.history.join("; "));
        self.wrong.push(format!("{rule}: {id}: {what} [{history}]"));
    }

    pub fn handed_in(&mut self, id: &str, class: &'static str, key: &str, remaining: Duration) {
        let message = Message {
            class,
            key: key.to_owned(),
            due: Instant::now() + remaining,
            status: None,
            taken: None,
            calls: Vec::new(),
            may_have_run: false,
            delivered: false,
            noticed: false,
            history: Vec::new(),
        };
        self.messages.insert(id.to_owned(), message);
        self.note(id, format!("handed in, {class} {key}"));
    }

    pub fn heard(&mut self, id: &str, status: Option<u16>) {
        self.note(id, format!("its client heard {status:?}"));
        let place = self.taken;
        let Some(message) = self.messages.get_mut(id) else { return };
        message.status = status;
        if status == Some(202) {
            message.taken = Some(place);
            self.taken += 1;
        }
        if let Some(other) = status.filter(|status| ![202, 503].contains(status)) {
            self.broke("Answer", id, &format!("status {other}"));
        }
    }

    /// A call has come whole.
    pub fn began(&mut self, id: &str, endpoint: &str, stream: &TcpStream) -> usize {
        let now = Instant::now();
        self.note(id, format!("a call at {endpoint}"));
        let socket = stream.as_fd().try_clone_to_owned().unwrap();
        let Some(message) = self.messages.get_mut(id) else {
            self.broke("SentAfterEnd", id, "nobody handed it in");
            return 0;
        };
        let beside = message.calls.iter().any(is_open);
        let doubled = message.class == "unsafe" && message.may_have_run;
        let ended = message.noticed;
        // Who hears nothing counts for nothing; who was refused may not be sent.
        let refused = message.status == Some(503);
        message.calls.push(Call { socket, open: true });
        let (place, key) = (message.taken, message.key.clone());
        let call = message.calls.len() - 1;
        for (broken, rule, what) in [
            (beside, "Beside", "an earlier call with it is out"),
            (doubled, "Doubled", "it may have run"),
            (ended, "SentAfterEnd", "its end was noticed"),
            (refused, "SentAfterEnd", "it was refused"),
        ] {
            if broken {
                self.broke(rule, id, what);
            }
        }
        if self.messages[id].class == "ordered" {
            let earlier = self.messages.iter().find(|(_, other)| {
                let before = other.class == "ordered"
                    && other.key == key
                    && other.taken.zip(place).is_some_and(|(a, b)| a < b);
                before && (!(other.delivered || other.noticed) || other.calls.iter().any(is_open))
            });
            if let Some((earlier, _)) = earlier {
                let what = format!("{earlier} is not over");
                self.broke("Order", id, &what);
            }
        }
        if self
            .wait
            .is_some_and(|(from, until)| now > from + WAIT_SLACK + TOLERANCE && now + TOLERANCE < until)
        {
            self.broke("Wait", id, "a told wait is not over");
        }
        let place = usize::from(endpoint == "s-2");
        if self.drains[place].is_some_and(|told| now > told + GRACE + TOLERANCE) {
            self.broke("Drain", id, "its endpoint was told to be draining");
        }
        call
    }

    /// An endpoint is about to say how a call ended.
    pub fn answered(&mut self, call: usize, id: &str, told: Told) {
        self.note(id, format!("{told:?}"));
        let Some(message) = self.messages.get_mut(id) else { return };
        // A sender that has gone hears nothing of it.
        let hears = is_open(&message.calls[call]);
        message.may_have_run |= !matches!(told, Told::Wait(_) | Told::Refused) || !hears;
        let first = told == Told::Delivered && hears && Self::is_owed(message);
        message.delivered |= told == Told::Delivered && hears;
        message.calls[call].open = false;
        if let Told::Wait(wait) = told
            && hears
        {
            let now = Instant::now();
            let until = self.wait.map_or(now + wait, |(_, until)| until.max(now + wait));
            self.wait = Some((now, until));
        }
        if first {
            self.over(id);
        }
    }

    /// A message that was taken on has its end.
    fn over(&mut self, id: &str) {
        let now = Instant::now();
        let late = self.messages.get(id).is_some_and(|message| now > message.due + LATE);
        if late && self.excused.is_none_or(|until| now > until) {
            self.broke("Lost", id, "its end came too late");
        }
    }

    /// A process is ready again, or the platform hears notices again.
    pub fn excused(&mut self) {
        self.excused = Some(Instant::now() + AFTER_READY);
    }

    /// A restart ends a wait.
    pub fn restarted(&mut self) {
        self.wait = None;
        let ids: Vec<String> = self
            .messages
            .iter()
            .filter(|(_, m)| !m.calls.is_empty() && !m.delivered)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.note(&id, "a restart".to_owned());
        }
    }

    /// The agent was told which endpoints are in service.
    pub fn listed(&mut self, serving: [bool; 2]) {
        for (drains, serving) in self.drains.iter_mut().zip(serving) {
            *drains = if serving { None } else { drains.or(Some(Instant::now())) };
        }
    }

    pub fn noticed(&mut self, notice: &Value) {
        let id = notice["id"].as_str().unwrap_or_default().to_owned();
        self.note(&id, format!("noticed: {}", notice["state"]));
        let Some(message) = self.messages.get_mut(&id) else {
            return self.broke("SentAfterEnd", &id, "a notice of what nobody handed in");
        };
        let first = Self::is_owed(message);
        message.noticed = true;
        if notice["state"] == "returned" && message.class == "unsafe" && message.may_have_run {
            self.broke("Doubled", &id, "returned though it may have run");
        }
        if first {
            self.over(&id);
        }
    }

    fn is_owed(message: &Message) -> bool {
        message.taken.is_some() && !message.delivered && !message.noticed
    }

    /// Whether all that was taken on has its end.
    pub fn all_over(&self) -> bool {
        !self.messages.values().any(Self::is_owed)
    }

    /// What is owed still.
    pub fn open(&self) -> Vec<String> {
        let open = self.messages.iter().filter(|(_, message)| Self::is_owed(message));
        open.map(|(id, message)| format!("{id} [{}]", message.history.join("; "))).collect()
    }

    pub fn verdict(&mut self) -> Vec<String> {
        std::mem::take(&mut self.wrong)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use tokio::net::TcpListener;

    async fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (mine, theirs) =
            tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
        (mine.unwrap(), theirs.unwrap().0)
    }

    fn taken(ledger: &mut Ledger, id: &str, class: &'static str) {
        ledger.handed_in(id, class, "k", Duration::from_secs(5));
        ledger.heard(id, Some(202));
    }

    /// Guards against a ledger that convicts nothing: each rule broken once.
    #[tokio::test]
    async fn each_broken_rule_is_seen() {
        let ((mine, theirs), (_second, other)) = (pair().await, pair().await);
        let broken = |ledger: &mut Ledger, rule: &str| {
            let wrong = ledger.verdict();
            assert!(wrong.len() == 1 && wrong[0].starts_with(rule), "{rule}: {wrong:?}");
        };
        let mut ledger = Ledger::default();
        taken(&mut ledger, "a", "unsafe");
        let call = ledger.began("a", "s-1", &theirs);
        ledger.began("a", "s-1", &other);
        broken(&mut ledger, "Beside");
        ledger.answered(call, "a", Told::Error);
        ledger.messages.get_mut("a").unwrap().calls.clear();
        ledger.began("a", "s-1", &other);
        broken(&mut ledger, "Doubled");
        ledger.noticed(&json!({"id": "a", "state": "returned"}));
        broken(&mut ledger, "Doubled");
        let mut ledger = Ledger::default();
        taken(&mut ledger, "b", "ordered");
        taken(&mut ledger, "c", "ordered");
        ledger.began("c", "s-1", &theirs);
        broken(&mut ledger, "Order");
        ledger.handed_in("d", "keyed", "", Duration::from_secs(5));
        ledger.heard("d", Some(503));
        ledger.began("d", "s-1", &theirs);
        broken(&mut ledger, "SentAfterEnd");
        let past = Instant::now() - Duration::from_secs(3);
        ledger.drains[0] = Some(past);
        taken(&mut ledger, "e", "keyed");
        ledger.began("e", "s-1", &theirs);
        broken(&mut ledger, "Drain");
        ledger.wait = Some((past, Instant::now() + Duration::from_secs(3)));
        taken(&mut ledger, "f", "keyed");
        ledger.began("f", "s-2", &theirs);
        broken(&mut ledger, "Wait");
        assert_eq!(ledger.open().len(), 4, "what is owed is told");
        // An end after its time, and one that a restart excuses.
        ledger.messages.get_mut("e").unwrap().due = past;
        ledger.messages.get_mut("f").unwrap().due = past;
        ledger.noticed(&json!({"id": "e", "state": "failed"}));
        broken(&mut ledger, "Lost");
        ledger.excused();
        ledger.noticed(&json!({"id": "f", "state": "failed"}));
        assert_eq!(ledger.verdict(), [""; 0]);
        // One that the other side has closed is out no more.
        let call = Call { socket: theirs.as_fd().try_clone_to_owned().unwrap(), open: true };
        assert!(is_open(&call));
        drop(mine);
        // The system takes a moment to bring it over.
        let closed = async {
            while is_open(&call) {
                tokio::task::yield_now().await
            }
        };
        tokio::time::timeout(super::super::harness::TEST_TIMEOUT, closed).await.expect("the close is seen");
    }
}
