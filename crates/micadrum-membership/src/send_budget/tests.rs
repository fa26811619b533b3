use super::*;

/// Guards against a ceiling that a storm goes over, or that lets rumours take what answers need.
#[test]
fn nothing_goes_over_it_and_answers_go_first() {
    let most = SendBudget { datagrams: 100.0, bytes: 10_000.0 };
    let mut bucket = Bucket::new(most, Duration::ZERO);
    let (mut sent, mut bytes) = (0, 0);
    for ms in 0..10_000u64 {
        for (size, rank) in [(300, Rank::Last), (80, Rank::Usual), (90, Rank::First)] {
            if bucket.take(Duration::from_millis(ms), size, rank) {
                (sent, bytes) = (sent + 1, bytes + size);
            }
        }
    }
    assert!(sent <= 100 * 10 + 25 && bytes <= 10_000 * 10 + 2500, "{sent} {bytes}");
    assert!(sent > 950 || bytes > 95_000, "it is used: {sent} {bytes}");
    let at = Duration::from_secs(100);
    while bucket.take(at, 10, Rank::Last) {}
    assert!(bucket.take(at, 10, Rank::Usual), "rumours leave room for rounds");
    while bucket.take(at, 10, Rank::Usual) {}
    assert!(bucket.take(at, 10, Rank::First), "rounds leave room for answers");
}
