use {camphorweir_policy::lease::Holder, camphorweir_wire::lease::TERM, std::time::Duration};

#[test]
fn a_lease_looks_lapsed_only_after_a_whole_term_without_a_renewal() {
    let mut holder = Holder::default();
    let seen = Duration::from_secs(100);
    holder.confirmed(7, seen);
    let moment = Duration::from_millis(1);
    assert!(!holder.looks_expired(seen + TERM / 4));
    assert!(!holder.looks_expired(seen + TERM - moment));
    assert!(holder.looks_expired(seen + TERM));
}
