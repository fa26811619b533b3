use super::*;

/// Guards against large requests that stop half way and leave no space for small ones, and against bytes that
/// are not returned at the end of a request.
#[test]
fn large_requests_leave_space_for_small_ones() {
    let budget = RequestBudget::new(400_000);
    let mut large: Vec<RequestBytes> = Vec::new();
    loop {
        let mut request = budget.begin_request();
        let grown = (0..4).try_for_each(|_| request.grow(16_000));
        large.push(request);
        if grown.is_err() {
            break;
        }
    }
    assert!(large.len() <= 5, "{}", large.len());
    let mut small: Vec<RequestBytes> = Vec::new();
    for _ in 0..20 {
        let mut request = budget.begin_request();
        request.grow(300).unwrap();
        request.grow(3_000).unwrap();
        small.push(request);
    }
    drop((large, small));
    let mut all = budget.begin_request();
    assert_eq!(all.grow(400_000), Err(BudgetExhausted), "a part is left to small requests");
    all.grow(300_000).unwrap();
    assert_eq!(all.grow(1), Err(BudgetExhausted));
}
