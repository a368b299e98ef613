//! Tests of the text that `/metrics` returns.

use gateway::recorder::Recorder;

#[test]
fn metrics_render_as_prometheus_text() {
    let recorder = Recorder::install();
    metrics::counter!("calls_total", "kind" => "put").increment(2);
    metrics::counter!("calls_total", "kind" => "a \"quoted\" one").increment(1);
    metrics::gauge!("members").set(3.0);
    for seconds in [0.004, 0.02, 20.0] {
        metrics::histogram!("answer_seconds", "status" => "200").record(seconds);
    }
    let text = recorder.render();
    let expected = [
        "# TYPE answer_seconds histogram",
        "answer_seconds_bucket{status=\"200\",le=\"0.005\"} 1",
        "answer_seconds_bucket{status=\"200\",le=\"0.025\"} 2",
        "answer_seconds_bucket{status=\"200\",le=\"10\"} 2",
        "answer_seconds_bucket{status=\"200\",le=\"+Inf\"} 3",
        "answer_seconds_count{status=\"200\"} 3",
        "answer_seconds_sum{status=\"200\"} 20.024",
        "# TYPE calls_total counter",
        "calls_total{kind=\"a \\\"quoted\\\" one\"} 1",
        "calls_total{kind=\"put\"} 2",
        "# TYPE members gauge",
        "members 3",
    ];
    for line in expected {
        assert!(text.lines().any(|found| found == line), "line {line} is missing from\n{text}");
    }
}
