//! What people on call and programs hear of the peers.
use crate::daemon::ports::Log;
use micadrum_membership::{Event, Standing};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Writes it to the log.
pub struct EventLog {
    log: Rc<dyn Log>,
    trace: bool,
    /// The last write failed, and that was told.
    unwritten: bool,
}

impl EventLog {
    /// To that log; with records for programs if `trace`.
    pub fn new(log: Rc<dyn Log>, trace: bool) -> Self {
        Self { log, trace, unwritten: false }
    }

    /// The book of lives was written, or was not.
    pub fn written(&mut self, written: &io::Result<()>) {
        let failed = written.is_err();
        if let Err(e) = written
            && !self.unwritten
        {
            self.log.line(&format!(
                "peers: the book of lives: {e}; nothing is said under a life that is not written"
            ));
        }
        self.unwritten = failed;
    }

    /// Something changed.
    pub fn event(&self, at: Duration, event: &Event) {
        if self.trace {
            // Names and numbers always have a JSON form.
            let event = serde_json::to_string(event).unwrap_or_default();
            self.log.line(&format!("trace peers at={} {event}", at.as_micros()));
        }
        let line = match event {
            Event::Changed { name, was, is, life } => format!("{name} is {is:?} (was {was:?}), life {life}"),
            Event::Life { name, life, forgot: false } => format!("{name} speaks under life {life}"),
            Event::Life { name, life, forgot: true } => {
                format!("{name} speaks under life {life}, and has forgotten those before")
            }
            Event::Forgotten { life, known } => format!(
                "others know life {known} of this sender: its folder was lost or put back; it goes on under life {life}"
            ),
            Event::OtherList { name, other: true } => format!(
                "{name} has another list of members: the operators' files of a fleet have to name the same ones"
            ),
            Event::OtherList { name, other: false } => format!("{name} has the same list of members again"),
            Event::Stands(Standing::Superseded) => {
                "a later process speaks under this sender's name: this one says nothing any more".to_owned()
            }
            Event::Stands(Standing::Exhausted) => {
                "there is no higher life to take: nothing is said".to_owned()
            }
            Event::Stands(standing) => format!("this sender is {standing:?}"),
            Event::Stalled { late_ms } => format!("this process stood still for {late_ms} ms"),
            Event::CutOff(true) => "nobody answers: what is believed of the others says nothing".to_owned(),
            Event::CutOff(false) => "somebody answers again".to_owned(),
        };
        self.log.line(&format!("peers: {line}"));
    }
}
