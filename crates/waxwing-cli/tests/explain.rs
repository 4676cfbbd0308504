//! The explanation of a request from log lines: answered after a retry, refused, and not found.

use expect_test::expect;
use waxwing_cli::explain;

const LOG: &str = r#"not a line of the log
{"timestamp":"2026-04-23T13:59:00Z","level":"INFO","message":"machine vm-1 has started"}
{"timestamp":"2026-04-23T13:59:01Z","level":"INFO","message":"version 4 of the configuration is in force"}
  3.36 vm-1 {"timestamp":"2026-04-23T13:59:08Z","level":"INFO","message":"request ended","kvs":{"attempts":"","left_out":0,"organisation":"","outcome":"refused","path":"/a/","reason":"the key is missing, not known or was withdrawn","request":"r-1","route":"r-6ajdib8","service":"","status":401,"took_ms":0,"version":4,"version_age_ms":242}}
{"timestamp":"2026-04-23T13:59:09Z","level":"WARN","message":"the store does not tell the configuration: no answer in time"}
{"timestamp":"2026-04-23T13:59:10Z","level":"INFO","message":"request ended","kvs":{"attempts":"i-1: connection closed while sending; i-2: 200","left_out":0,"organisation":"kiln","outcome":"answered","path":"/a/","reason":"","request":"r-2","route":"r-7","service":"s","status":200,"took_ms":1016,"version":4,"version_age_ms":2100}}
"#;

fn explanation(request: &str) -> String {
    let found = explain::search(LOG.as_bytes(), request).expect("the log can be read");
    found.iter().map(ToString::to_string).collect::<Vec<String>>().join("\n")
}

#[test]
fn explanation_of_a_refused_request_shows_the_machine_lines_before_it() {
    expect![[r#"
        2026-04-23T13:59:08Z r-1: refused, status 401
          route         r-6ajdib8
          organisation  none
          attempts      none
          reason        the key is missing, not known or was withdrawn
          took          0 ms
          decided by    version 4, known to be the newest 242 ms before
          before        2026-04-23T13:59:00Z machine vm-1 has started
          before        2026-04-23T13:59:01Z version 4 of the configuration is in force
          so            the configuration of this version has no such key"#]]
    .assert_eq(&explanation("r-1"));
}

#[test]
fn explanation_of_a_retried_request_shows_the_failed_attempt() {
    let explanation = explanation("r-2");
    assert!(
        explanation.contains("i-1: connection closed while sending; i-2: 200"),
        "{explanation}"
    );
    assert!(explanation.ends_with(
        "so            a second server answered; the first attempt tells what was wrong before"
    ));
    assert!(explanation.contains("the store does not tell the configuration"));
}

#[test]
fn request_without_a_log_line_has_no_explanation() {
    assert_eq!(explanation("r-3"), "");
}
