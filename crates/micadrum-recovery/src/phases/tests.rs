use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const SETTINGS: Settings = Settings {
    ask_for: ms(1000),
    list_for: ms(2000),
    finish_for: ms(3000),
    full_after: ms(5000),
    newcomers: 20.0,
};

/// Guards against service that returns in another order, or stays away though nothing is waited for.
#[test]
fn each_stage_ends_with_what_it_waits_for() {
    let mut stages = Phases::new(SETTINGS, ms(0));
    assert!(!stages.handle(Input::Left(0), ms(10)), "nothing owed does not end the asking");
    assert!(
        stages.handle(Input::Asked, ms(100))
            && stages.stage() == RecoveryPhase::Listing
            && !stages.may_send()
    );
    assert!(stages.handle(Input::Listed, ms(200)) && stages.stage() == RecoveryPhase::Finishing);
    assert!(stages.may_send() && !stages.is_open() && stages.admit(ms(200)) == Err(ms(3000)));
    assert!(!stages.handle(Input::Left(3), ms(300)));
    assert!(
        stages.handle(Input::Left(0), ms(400))
            && stages.stage() == RecoveryPhase::Admitting
            && stages.is_open()
    );
    assert!(stages.admit(ms(400)).is_ok() && stages.admit(ms(400)).is_err());
    assert!(!stages.handle(Input::Timer, ms(5399)) && stages.handle(Input::Timer, ms(5400)));
    assert_eq!((stages.stage(), stages.due()), (RecoveryPhase::Full, None));
    assert!((0..100).all(|_| stages.admit(ms(5400)).is_ok()));
    let took: Vec<_> = stages.steps().iter().map(|step| (step.stage, step.took / 1000, step.why)).collect();
    let done = Why::Done;
    let expected = [
        (RecoveryPhase::Asking, 100, done),
        (RecoveryPhase::Listing, 100, done),
        (RecoveryPhase::Finishing, 200, done),
        (RecoveryPhase::Admitting, 5000, done),
    ];
    assert_eq!(took, expected);
}

/// Guards against an asking that nobody answered in its time being told as one that was done.
#[test]
fn an_asking_that_took_all_its_time_is_late() {
    for (at, why) in [(999, Why::Done), (1000, Why::Late)] {
        let mut stages = Phases::new(SETTINGS, ms(0));
        assert!(stages.handle(Input::Asked, ms(at)));
        assert_eq!((stages.stage(), stages.steps()[0].why), (RecoveryPhase::Listing, why));
    }
}

/// Guards against waiting for a list that came before it was its turn.
#[test]
fn a_list_that_came_early_counts() {
    let mut stages = Phases::new(SETTINGS, ms(0));
    assert!(!stages.handle(Input::Listed, ms(10)));
    stages.handle(Input::Asked, ms(20));
    assert_eq!(stages.stage(), RecoveryPhase::Finishing);
}

/// Guards against a sender that stays away for good, whatever does or does not happen: its stages end in their order
/// and in their times.
#[test]
fn whatever_happens_service_is_back_in_time() {
    let most = SETTINGS.ask_for + SETTINGS.list_for + SETTINGS.finish_for + SETTINGS.full_after;
    for seed in 0..2000 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut stages = Phases::new(SETTINGS, ms(0));
        let mut now = ms(0);
        let mut last = stages.stage();
        while stages.stage() != RecoveryPhase::Full {
            let due = stages.due().unwrap();
            let step = Duration::from_micros(u64::from(chance.next_u32()) % 1_500_000);
            now = if chance.next_u32().is_multiple_of(3) { due } else { (now + step).min(due) };
            let input = match chance.next_u32() % 4 {
                0 => Input::Asked,
                1 => Input::Listed,
                2 => Input::Left(chance.next_u32() as usize % 2),
                _ => Input::Timer,
            };
            stages.handle(input, now);
            assert!(stages.stage() >= last && now <= most, "seed {seed}");
            assert!(stages.stage() == RecoveryPhase::Full || stages.due().unwrap() > now, "seed {seed}");
            last = stages.stage();
        }
        let order: Vec<RecoveryPhase> = stages.steps().iter().map(|step| step.stage).collect();
        assert_eq!(
            order,
            [
                RecoveryPhase::Asking,
                RecoveryPhase::Listing,
                RecoveryPhase::Finishing,
                RecoveryPhase::Admitting
            ],
            "seed {seed}"
        );
    }
}
