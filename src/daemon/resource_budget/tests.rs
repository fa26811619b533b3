use super::*;

/// Guards against parts that exceed the limits together: each part gets something, and all of them stay within
/// the descriptors and the memory.
#[test]
fn all_parts_together_stay_within_the_limits() {
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
                    && budget.client_connections * CLIENT_CONNECTION_BYTES + budget.request_body_bytes
                        < 16_000_000
            );
            assert!(
                budget.client_connections * 3 >= sockets.min(768) && budget.idle_connections > calls,
                "{budget:?}"
            );
        }
    }
}
