use super::*;

/// Guards against exceeding the budget under load, and against gossip that uses up the tokens that acks need.
#[test]
fn never_exceeds_the_budget_and_reserves_tokens_for_acks() {
    let budget = SendBudget { datagrams_per_second: 100.0, bytes_per_second: 10_000.0 };
    let mut bucket = TokenBucket::new(budget, Duration::ZERO);
    let (mut sent, mut bytes) = (0, 0);
    for ms in 0..10_000u64 {
        for (size, priority) in
            [(300, SendPriority::Low), (80, SendPriority::Normal), (90, SendPriority::High)]
        {
            if bucket.try_take(Duration::from_millis(ms), size, priority) {
                (sent, bytes) = (sent + 1, bytes + size);
            }
        }
    }
    assert!(sent <= 100 * 10 + 25 && bytes <= 10_000 * 10 + 2500, "{sent} datagrams, {bytes} bytes");
    assert!(sent > 950 || bytes > 95_000, "the budget is not used up: {sent} datagrams, {bytes} bytes");
    let now = Duration::from_secs(100);
    while bucket.try_take(now, 10, SendPriority::Low) {}
    assert!(bucket.try_take(now, 10, SendPriority::Normal), "gossip leaves budget for probes");
    while bucket.try_take(now, 10, SendPriority::Normal) {}
    assert!(bucket.try_take(now, 10, SendPriority::High), "probes leave budget for acks");
}
