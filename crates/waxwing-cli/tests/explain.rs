//! What logs tell of a request.

use expect_test::expect;
use waxwing_cli::explain;

const LOG: &str = r#"not a line of the log
{"timestamp":"2026-04-23T13:59:00Z","level":"INFO","message":"machine vm-1 has started"}
{"timestamp":"2026-04-23T13:59:01Z","level":"INFO","message":"version 4 of the configuration is in force"}
  3.36 vm-1 {"timestamp":"2026-04-23T13:59:08Z","level":"INFO","message":"request ended","kvs":{"attempts":"","left_out":0,"organisation":"","outcome":"refused","path":"/a/","reason":"the key is missing, not known or was withdrawn","request":"r-1","route":"r-6ajdib8","service":"","status":401,"took_ms":0,"version":4,"version_age_ms":242}}
{"timestamp":"2026-04-23T13:59:09Z","level":"WARN","message":"the store does not tell the configuration: no answer in time"}
{"timestamp":"2026-04-23T13:59:10Z","level":"INFO","message":"request ended","kvs":{"attempts":"i-1: connection closed while sending; i-2: 200","left_out":0,"organisation":"kiln","outcome":"answered","path":"/a/","reason":"","request":"r-2","route":"r-7","service":"s","status":200,"took_ms":1016,"version":4,"version_age_ms":2100}}
"#;

fn told(request: &str) -> String {
    let found = explain::search(LOG.as_bytes(), request).expect("the log can be read");
    found.iter().map(ToString::to_string).collect::<Vec<String>>().join("\n")
}

#[test]
fn a_refused_request_is_explained_by_its_line_and_what_the_machine_said_before() {
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
    .assert_eq(&told("r-1"));
}

#[test]
fn a_late_answer_names_the_attempt_that_failed_before() {
    let told = told("r-2");
    assert!(told.contains("i-1: connection closed while sending; i-2: 200"), "{told}");
    assert!(told.ends_with(
        "so            a second server answered; the first attempt tells what was wrong before"
    ));
    assert!(told.contains("the store does not tell the configuration"));
}

#[test]
fn a_request_that_no_line_names_is_not_explained() {
    assert_eq!(told("r-3"), "");
}
