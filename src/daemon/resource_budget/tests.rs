use super::*;

/// Guards against a part that grows past the whole: each gets something, and together they stay under
/// the descriptors.
#[test]
fn the_parts_stay_under_the_limits() {
    for sockets in [256, 384, 1024] {
        for calls in [4, 40] {
            let limits = ResourceLimits { memory_mb: 32.0, sockets, disk_mb: 3.0 };
            let budget = ResourceBudget::new(&limits, calls, true);
            let all = budget.clients + budget.idle + calls + budget.unread + OWN_SOCKETS + OPERATORS + 1;
            assert!(all <= sockets && budget.clients * CLIENT_MEMORY + budget.bodies < 16_000_000);
            assert!(budget.clients * 3 >= sockets.min(768) && budget.idle > calls, "{budget:?}");
        }
    }
}
