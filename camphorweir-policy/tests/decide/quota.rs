//! Workspace limits, shared out among the entries.

use {camphorweir_config::model::Limits, camphorweir_policy::quota::Table, std::time::Duration};

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    Limits {
        requests: 100.0,
        tokens: 10_000.0,
        concurrent: 10,
    }
}

/// Returns how many requests the entries grant together in 10 s. Entry n gets `rates[n]` requests a
/// second, and the entries report their demand to each other every 500 ms until `cut_ms`.
fn count_granted(rates: &[u32], cut_ms: u32) -> u32 {
    let mut tables: Vec<Table> = rates.iter().map(|_| Table::default()).collect();
    let mut granted = 0;
    for ms in 0..10_000 {
        let now = MS * ms;
        if ms % 500 == 0 && ms < cut_ms {
            let demands: Vec<_> = tables.iter_mut().map(|table| table.busiest(now)).collect();
            for (number, table) in tables.iter_mut().enumerate() {
                let others = demands
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other != number);
                table.update_shares(others.map(|(_, demand)| Some(demand.as_slice())));
            }
        }
        for (table, rate) in tables.iter_mut().zip(rates) {
            if *rate > 0 && ms % (1000 / rate) == 0 {
                let charged = table.try_charge(&"w".to_owned(), &limits(), 1, now);
                granted += u32::from(charged.is_ok());
            }
        }
    }
    granted
}

#[test]
fn entries_together_stay_near_the_limit() {
    // Requests a second at each entry, when the entries lose contact in ms, and the least and most
    // requests granted; the limit allows 1000 in 10 s.
    let cases: [(&[u32], u32, u32, u32); 6] = [
        (&[200], 10_000, 900, 1200),
        (&[50], 10_000, 500, 500),
        (&[200, 200, 200], 10_000, 800, 1400),
        (&[200, 20, 20], 10_000, 700, 1400),
        (&[200, 200, 200], 2000, 800, 1400),
        (&[20, 20, 20], 10_000, 550, 600),
    ];
    for (rates, cut_ms, least, most) in cases {
        let granted = count_granted(rates, cut_ms);
        let fits = (least..=most).contains(&granted);
        assert!(fits, "{rates:?} cut off at {cut_ms} ms: {granted}");
    }
}

#[test]
fn requests_in_flight_are_bounded() {
    let mut table = Table::default();
    let workspace = "w".to_owned();
    let mut open = 0;
    for ms in 0..1000 {
        if table
            .try_charge(&workspace, &limits(), 1, MS * ms * 20)
            .is_ok()
        {
            table.opened(&workspace);
            open += 1;
        }
    }
    assert_eq!(open, limits().concurrent);
    table.closed(&workspace);
    assert!(
        table
            .try_charge(&workspace, &limits(), 1, MS * 30_000)
            .is_ok()
    );
}
