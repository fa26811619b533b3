use super::*;

/// Guards against budgets whose sum exceeds the descriptors or the memory, and against a part that gets too
/// little.
#[test]
fn sum_of_all_parts_stays_within_the_limits() {
    for sockets in [256, 384, 1024] {
        for calls in [4, 40] {
            let limits = ResourceLimits { memory_mb: 32.0, sockets, disk_mb: 3.0 };
            let budget = ResourceBudget::new(&limits, calls, true);
            let all = budget.client_connections
                + budget.idle_connections
                + calls
                + budget.unread_responses
                + OWN_DESCRIPTORS
                + MAX_OPERATOR_CONNECTIONS
                + 1;
            assert!(
                all <= sockets
                    && budget.client_connections * CLIENT_CONNECTION_BYTES + budget.request_bytes
                        < 16_000_000
            );
            assert!(
                budget.client_connections * 3 >= sockets.min(768) && budget.idle_connections > calls,
                "{budget:?}"
            );
        }
    }
}
