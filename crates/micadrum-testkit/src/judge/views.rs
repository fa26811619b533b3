//! What senders believe of each other: wrong for too long (`View`), and deaths without a cause (`Accused`).
use super::{Break, MOST_KEPT, Rule, Verdict, seconds};
use crate::history::History;
use crate::observation::At;

/// Views must be right so long after the last thing that happened to the fleet ...
const SETTLE: At = 5_000_000;
/// ... and nobody may be held for dead later than this after it.
const GRACE: At = 4_000_000;

/// Adds to a verdict what a history of senders that know each other shows; `end` is when it ends.
pub fn look_at_views(history: &History, end: At, verdict: &mut Verdict) {
    let mut convict = |rule, at, what| {
        *verdict.counts.entry(rule).or_default() += 1;
        if verdict.breaks.len() < MOST_KEPT {
            verdict.breaks.push(Break { rule, at, id: None, what, history: Vec::new() });
        }
    };
    for (at, by, of) in history.false_deaths(GRACE) {
        convict(
            Rule::Accused,
            at,
            format!("sender {by} held sender {of} for dead, which ran, with nothing wrong"),
        );
    }
    let Some(last) = history.last_happening().filter(|last| last + SETTLE < end) else { return };
    match history.right_after(last, end) {
        Ok(took) if took <= SETTLE => {}
        Ok(took) => {
            let what =
                format!("views were right {} s after the last thing that happened to senders", seconds(took));
            convict(Rule::View, last + took, what);
        }
        Err(wrong) => {
            for (by, of, status) in wrong {
                convict(Rule::View, end, format!("sender {by} holds sender {of} for {status:?} at the end"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::What;
    use crate::plan::Plan;
    use crate::scenario::Scenario;
    use micadrum_membership::{Event, Status};

    const S: At = 1_000_000;
    const TEXT: &str = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";

    fn broken(changes: &[(At, u32, u32, Status)], end: At) -> Vec<Rule> {
        let mut history = History::new(&Plan::new(Scenario::parse("t", TEXT).unwrap(), 1));
        (0..2).for_each(|sender| history.add(0, sender, What::Started));
        for (at, by, of, is) in changes {
            let event = Event::Changed { name: format!("n{of}"), was: Status::Unknown, is: *is, life: 1 };
            history.add(*at, *by, What::Peers(event));
        }
        let mut verdict = Verdict::default();
        look_at_views(&history, end, &mut verdict);
        verdict.counts.into_keys().collect()
    }

    /// Guards against a judge that lets wrong views and causeless deaths pass, or convicts right ones.
    #[test]
    fn wrong_views_and_causeless_deaths_are_convicted() {
        use Status::{Dead, Live};
        let good = [(S, 0, 1, Live), (2 * S, 1, 0, Live)];
        assert_eq!(broken(&good, 20 * S), []);
        assert_eq!(broken(&good[..1], 20 * S), [Rule::View], "one is never seen");
        assert_eq!(broken(&good[..1], 4 * S), [], "it is not over yet");
        assert_eq!(broken(&[good[0], (9 * S, 1, 0, Live)], 20 * S), [Rule::View], "one is seen late");
        let accused = [good[0], good[1], (10 * S, 1, 0, Dead), (11 * S, 1, 0, Live)];
        assert_eq!(broken(&accused, 20 * S), [Rule::View, Rule::Accused]);
        // One that has ended is rightly held for dead, however late that is found.
        let mut history = History::new(&Plan::new(Scenario::parse("t", TEXT).unwrap(), 1));
        (0..2).for_each(|sender| history.add(0, sender, What::Started));
        history.add(S, 0, What::Ended);
        let dead = Event::Changed { name: "n0".to_owned(), was: Live, is: Dead, life: 1 };
        history.add(9 * S, 1, What::Peers(dead));
        assert_eq!(history.false_deaths(4 * S), []);
    }
}
