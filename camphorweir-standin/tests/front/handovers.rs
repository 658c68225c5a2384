//! Roles of an instance that stops, while requests keep it running.

use {
    crate::bench::{Bench, Entry, call, stream, until},
    camphorweir_standin::platform_target::ResponseFault,
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::time::sleep,
};

/// Pause after each event of a stream that lasts as long as the grace of a shutdown.
const SLOW: ResponseFault = ResponseFault::SlowBy(1_200);

async fn holds_lease(entry: &Entry) -> bool {
    let scrape = Request::get("/metrics").body(Full::default()).unwrap();
    let answer = call(entry.metrics, &scrape).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let mut lines = text.lines();
    lines.any(|line| line.starts_with("camphorweir_lease") && line.ends_with(" 1"))
}

/// Guards against layers that nobody orders while the instance that read the store for its zone stops.
#[tokio::test]
async fn layers_are_ordered_while_the_reader_of_the_zone_stops() {
    let mut bench = Bench::start(2).await;
    let is_first = until("a lease", || async {
        for (index, entry) in bench.entries.iter().enumerate() {
            if holds_lease(entry).await {
                return Some(index == 0);
            }
        }
        None
    })
    .await;
    let holder = usize::from(!is_first);
    bench.parts.iter().for_each(|part| part.inject(SLOW));
    let (front, mut request) = (bench.entries[holder].callers, stream("slow"));
    let headers = request.headers_mut();
    headers.insert("x-deadline-ms", "20000".parse().unwrap());
    tokio::spawn(async move { call(front, &request).await });
    until("the run", || async {
        (bench.runs("slow") == 1).then_some(())
    })
    .await;
    bench.entries[holder].stop();
    sleep(Duration::from_millis(300)).await;
    let idle = bench.parts.iter().find(|part| part.open_streams() == 0);
    let idle = idle.unwrap();
    idle.restart();
    until("an order", || async {
        assert!(!bench.entries[holder].is_over(), "no order before its end");
        idle.layers()
    })
    .await;
}
