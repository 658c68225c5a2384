//! The quickstart, as a newcomer runs it.

use {
    crate::{
        caller::expected,
        child::{binary, output},
    },
    std::process::Command,
};

#[tokio::test]
async fn it_serves_its_requests_and_ends() {
    let out = output(Command::new(binary("examples/quickstart"))).await;
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(
        out.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert!(text.contains("publish: accepted version 1"), "{text}");
    assert!(text.ends_with("stopped, nothing cut\n"), "{text}");
    let outcomes: Vec<&str> = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix("status "))
        .collect();
    let good = "200, ran: yes";
    let grows = "200, ran: unknown";
    assert_eq!(
        outcomes,
        [good, grows, good, good, good, "404, ran: no"],
        "{text}"
    );

    let note = "user: Kiln 4, shift 2: write the burn note.\nassistant:";
    let tokens = serde_json::to_string(&expected(note, 40)).unwrap();
    assert!(text.contains(&tokens), "{text}");
    let sealed = |line: &&str| line.contains("\"run\":1,") && line.contains("/batches/17/seal\"");
    let seals = text.lines().filter(sealed).count();
    assert_eq!(seals, 2, "{text}");
    assert!(text.contains("data: [DONE]"), "{text}");
    assert!(text.contains("1008"), "{text}");
}
