use {camphorweir_policy::lease::Holder, camphorweir_wire::lease::TERM, std::time::Duration};

#[test]
fn a_lease_looks_expired_only_after_a_whole_term_without_a_renewal() {
    let mut holder = Holder::default();
    let confirmed_at = Duration::from_secs(100);
    holder.confirmed(7, confirmed_at);
    let millisecond = Duration::from_millis(1);
    assert!(!holder.looks_expired(confirmed_at + TERM / 4));
    assert!(!holder.looks_expired(confirmed_at + TERM - millisecond));
    assert!(holder.looks_expired(confirmed_at + TERM));
}
