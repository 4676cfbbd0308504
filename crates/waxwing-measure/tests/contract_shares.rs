//! The fleet admits nearly as many requests of small and large organisations as one central token
//! bucket.

use std::thread;

use waxwing_contract::options;
use waxwing_measure::accuracy;
use waxwing_measure::trace;

/// The least number of requests that the fleet admits for an organisation, as a share of those that
/// the central bucket admits.
const ADMITTED_SHARE_MIN: f64 = 0.98;

/// The largest share of requests admitted by the central bucket that the fleet refuses, over all
/// organisations whose demand is below their rate.
const WRONGFUL_REFUSAL_SHARE_MAX: f64 = 0.005;

/// Length of each request trace, in seconds.
const SPAN_S: u64 = 400;

const SKEWS: [trace::Skew; 3] =
    [trace::Skew::Uniform, trace::Skew::OneVm(4), trace::Skew::Moving { stay_s: 5 }];

fn run_all(deployment: accuracy::Deployment, demand: f64) -> Vec<(String, accuracy::Result)> {
    let mut results = Vec::new();
    for skew in SKEWS {
        for organisation in accuracy::organisations() {
            let organisation = accuracy::Organisation { demand, ..organisation };
            let options = options::Options::default();
            let result = accuracy::run(deployment, options, organisation, skew, SPAN_S, 7);
            let case = format!("{deployment} {skew:?} {} at {demand}", organisation.rate_per_s);
            results.push((case, result));
        }
    }
    results
}

#[test]
fn each_organisation_is_admitted_close_to_its_central_bucket() {
    let cases = [accuracy::Deployment::Cooperative, accuracy::Deployment::Kartelis]
        .into_iter()
        .flat_map(|deployment| [0.9, 5.0].map(|demand| (deployment, demand)));
    let running: Vec<_> = cases
        .map(|(deployment, demand)| (demand, thread::spawn(move || run_all(deployment, demand))))
        .collect();
    for (demand, running) in running {
        let results = running.join().expect("no panic");
        for (case, result) in &results {
            println!(
                "{case}: admitted {:.4} of {}",
                result.admitted_share(),
                result.admitted_by_central
            );
            assert!(
                result.admitted_share() >= ADMITTED_SHARE_MIN,
                "{case}: admitted {:.4}",
                result.admitted_share()
            );
        }
        let central: u64 = results.iter().map(|(_, result)| result.admitted_by_central).sum();
        let refused: u64 = results.iter().map(|(_, result)| result.wrongly_refused).sum();
        let share = refused as f64 / central as f64;
        println!("refused although the central bucket admits them: {share:.5}");
        assert!(demand > 1.0 || share < WRONGFUL_REFUSAL_SHARE_MAX, "{share:.5} refused");
    }
}
