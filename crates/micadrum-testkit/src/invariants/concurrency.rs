//! Calls that were out at once: of one message (`Beside`), of one key (`Order`).
use super::{HELD_BACK, InvariantChecker, seconds};
use crate::observation::At;

impl InvariantChecker {
    /// Calls whose process ended, and of whose own end nothing has been heard since, were out until then.
    pub(super) fn look_at_orphans(&mut self, now: At) {
        while let Some((exited, call)) = self.orphans.front().copied()
            && exited + HELD_BACK < now
        {
            self.orphans.pop_front();
            self.out_no_more(exited, call, exited);
        }
    }

    /// A call was out until `until`: what was sent beside it before that broke a rule.
    pub(super) fn out_no_more(&mut self, at: At, call: u64, until: At) {
        let number = call;
        let Some(call) = self.calls.remove(&number) else { return };
        for (rule, id, sent) in call.beside {
            if sent < until {
                let what = format!(
                    "it was sent {} beside call {number} of {}, out until {}",
                    seconds(sent),
                    call.ids.join(", "),
                    seconds(until)
                );
                self.convict(rule, at, Some(&id), what);
                // The other message's part in it as well.
                let others = call.ids.iter().filter(|other| **other != id);
                let lines: Vec<String> = others
                    .flat_map(|other| {
                        let lines = self.history(other).into_iter();
                        lines.map(move |line| format!("({other}) {line}"))
                    })
                    .collect();
                if let Some(last) =
                    self.verdict.breaks.last_mut().filter(|last| last.id.as_ref() == Some(&id))
                {
                    last.history.extend(lines);
                }
            }
        }
    }
}
