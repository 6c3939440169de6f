//! Tests of the retry budget.

use std::time::Duration;

use crate::inference::budget::RetryBudget;
use crate::inference::budget::retry_delay;

#[test]
fn test_budget_limits_retries_to_a_share_of_requests() {
    let budget = RetryBudget::new();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((99..=100).contains(&retries), "{retries} retries");
}

#[test]
fn test_budget_limits_saved_retries() {
    let budget = RetryBudget::new();
    for _ in 0..10_000 {
        budget.deposit();
    }
    let saved = (0..1000).take_while(|_| budget.withdraw()).count();
    assert_eq!(saved, 64);
}

#[test]
fn test_retry_delay_grows_to_a_limit() {
    for _ in 0..100 {
        assert!(retry_delay(1) < Duration::from_millis(5));
        assert!(retry_delay(2) < Duration::from_millis(20));
        assert!(retry_delay(u32::MAX) < Duration::from_millis(200));
    }
}
