use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const SETTINGS: Settings = Settings {
    peer_query_timeout: ms(1000),
    endpoint_list_timeout: ms(2000),
    backlog_timeout: ms(3000),
    admission_ramp: ms(5000),
    initial_admissions_per_second: 20.0,
};

/// Guards against phases in the wrong order, and against a phase that continues after its condition is met.
#[test]
fn each_phase_ends_when_its_condition_is_met() {
    let mut phases = Phases::new(SETTINGS, ms(0));
    assert!(!phases.handle(Input::Backlog(0), ms(10)), "an empty backlog does not end the query");
    assert!(
        phases.handle(Input::PeersQueried, ms(100))
            && phases.phase() == RecoveryPhase::AwaitingEndpoints
            && !phases.sends_backlog()
    );
    assert!(
        phases.handle(Input::EndpointListReceived, ms(200))
            && phases.phase() == RecoveryPhase::DrainingBacklog
    );
    assert!(
        phases.sends_backlog() && !phases.admits_new_messages() && phases.admit(ms(200)) == Err(ms(3000))
    );
    assert!(!phases.handle(Input::Backlog(3), ms(300)));
    assert!(
        phases.handle(Input::Backlog(0), ms(400))
            && phases.phase() == RecoveryPhase::AdmittingGradually
            && phases.admits_new_messages()
    );
    assert!(phases.admit(ms(400)).is_ok() && phases.admit(ms(400)).is_err());
    assert!(!phases.handle(Input::Timer, ms(5399)) && phases.handle(Input::Timer, ms(5400)));
    assert_eq!((phases.phase(), phases.due()), (RecoveryPhase::FullService, None));
    assert!((0..100).all(|_| phases.admit(ms(5400)).is_ok()));
    let took: Vec<_> =
        phases.ended().iter().map(|record| (record.phase, record.took_us / 1000, record.end)).collect();
    let done = PhaseEnd::Completed;
    let expected = [
        (RecoveryPhase::QueryingPeers, 100, done),
        (RecoveryPhase::AwaitingEndpoints, 100, done),
        (RecoveryPhase::DrainingBacklog, 200, done),
        (RecoveryPhase::AdmittingGradually, 5000, done),
    ];
    assert_eq!(took, expected);
}

/// Guards against reporting a query that timed out as completed.
#[test]
fn a_query_that_ends_at_its_deadline_counts_as_timed_out() {
    for (at, end) in [(999, PhaseEnd::Completed), (1000, PhaseEnd::TimedOut)] {
        let mut phases = Phases::new(SETTINGS, ms(0));
        assert!(phases.handle(Input::PeersQueried, ms(at)));
        assert_eq!((phases.phase(), phases.ended()[0].end), (RecoveryPhase::AwaitingEndpoints, end));
    }
}

/// Guards against waiting for an endpoint list that arrived during the query of peers.
#[test]
fn an_early_endpoint_list_ends_the_wait_for_it() {
    let mut phases = Phases::new(SETTINGS, ms(0));
    assert!(!phases.handle(Input::EndpointListReceived, ms(10)));
    phases.handle(Input::PeersQueried, ms(20));
    assert_eq!(phases.phase(), RecoveryPhase::DrainingBacklog);
}

/// Guards against a sender that never reaches full service, or reaches it after the sum of the timeouts.
#[test]
fn reaches_full_service_within_the_timeouts_for_any_inputs() {
    let max_duration = SETTINGS.peer_query_timeout
        + SETTINGS.endpoint_list_timeout
        + SETTINGS.backlog_timeout
        + SETTINGS.admission_ramp;
    for seed in 0..2000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut phases = Phases::new(SETTINGS, ms(0));
        let mut now = ms(0);
        let mut last = phases.phase();
        while phases.phase() != RecoveryPhase::FullService {
            let due = phases.due().unwrap();
            let step = Duration::from_micros(u64::from(rng.next_u32()) % 1_500_000);
            now = if rng.next_u32().is_multiple_of(3) { due } else { (now + step).min(due) };
            let input = match rng.next_u32() % 4 {
                0 => Input::PeersQueried,
                1 => Input::EndpointListReceived,
                2 => Input::Backlog(rng.next_u32() as usize % 2),
                _ => Input::Timer,
            };
            phases.handle(input, now);
            assert!(phases.phase() >= last && now <= max_duration, "seed {seed}");
            assert!(
                phases.phase() == RecoveryPhase::FullService || phases.due().unwrap() > now,
                "seed {seed}"
            );
            last = phases.phase();
        }
        let order: Vec<RecoveryPhase> = phases.ended().iter().map(|record| record.phase).collect();
        assert_eq!(
            order,
            [
                RecoveryPhase::QueryingPeers,
                RecoveryPhase::AwaitingEndpoints,
                RecoveryPhase::DrainingBacklog,
                RecoveryPhase::AdmittingGradually
            ],
            "seed {seed}"
        );
    }
}
