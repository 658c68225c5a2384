use {camphorweir_relay::sse::Splitter, proptest::prelude::*};

/// Output of a splitter for these chunks: bytes, last id, events, and bytes still buffered.
fn split(chunks: &[&[u8]]) -> (Vec<u8>, Option<String>, usize, usize) {
    let mut splitter = Splitter::default();
    let (mut bytes, mut last, mut events) = (Vec::new(), None, 0);
    for chunk in chunks {
        let batch = splitter.push(chunk);
        bytes.extend(batch.bytes);
        last = batch.last_id.or(last);
        events += batch.count;
    }
    (bytes, last, events, splitter.buffered_bytes())
}

#[test]
fn only_complete_events_are_returned() {
    let (bytes, last, events, buffered) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(
        (bytes.as_slice(), last.as_deref()),
        (&b"id: 1\ndata: a\n\n"[..], Some("1"))
    );
    assert_eq!((events, buffered), (1, 8));
    let (bytes, last, events, buffered) = split(&[b"id:7\r\ndata: a\r\n\r\n"]);
    assert_eq!(
        (bytes.len(), last.as_deref(), events, buffered),
        (17, Some("7"), 1, 0)
    );
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(cuts in prop::collection::vec(0..90usize, 0..8)) {
        let stream = b"id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\nid: 4\nda";
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|cut| &stream[cut[0]..cut[1]]).collect();
        let (bytes, last, events, buffered) = split(&chunks);
        prop_assert_eq!(bytes.as_slice(), &stream[..stream.len() - 8]);
        prop_assert_eq!((last.as_deref(), events, buffered), (Some("3"), 4, 8));
    }
}
