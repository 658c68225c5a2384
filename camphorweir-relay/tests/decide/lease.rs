use {
    camphorweir_relay::{
        lease::{Grant, Lease},
        store::Era,
    },
    std::time::Duration,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn grant(generation: u64, is_holder: bool) -> Grant {
    Grant {
        generation,
        is_holder,
    }
}

#[test]
fn a_lease_is_valid_for_its_term_from_the_sending_of_the_request() {
    let mut lease = Lease::new(ms(2_500));
    assert_eq!((lease.fencing_token(ms(0)), lease.generation()), (None, 0));
    lease.renew(grant(4, true), ms(1_000), Era(0));
    assert_eq!(lease.fencing_token(ms(3_499)), Some(4));
    assert_eq!(lease.fencing_token(ms(3_500)), None);
    // After a long suspend the term of the holder has ended.
    assert_eq!(lease.fencing_token(ms(60_000)), None);
    lease.renew(grant(6, true), ms(60_000), Era(0));
    assert_eq!(lease.fencing_token(ms(60_001)), Some(6));
    lease.renew(grant(7, false), ms(60_900), Era(0));
    assert_eq!(
        (lease.fencing_token(ms(60_901)), lease.generation()),
        (None, 7)
    );
}
