//! A comparison as a picture: bars of value by policy.

use crate::compare::Comparison;
use std::fmt::Write;

/// Sizes in pixels.
const BAR_WIDTH: f64 = 70.0;
const GAP: f64 = 60.0;
const HEIGHT: f64 = 240.0;
const MARGIN: f64 = 50.0;

impl Comparison {
    /// Bars of value by policy, with a line from the least to the most, as SVG.
    pub fn svg(&self) -> String {
        let step = BAR_WIDTH + GAP;
        let width = MARGIN * 2.0 + step * self.played.len() as f64;
        let height = HEIGHT + MARGIN * 2.0;
        let foot = MARGIN + HEIGHT;
        let top = |value: f64| foot - value * HEIGHT;
        let mut svg = String::new();
        let mut put = |line: String| {
            let _ = writeln!(svg, "{line}");
        };
        put(format!(
            r#"<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" font-size="12">"#
        ));
        put(format!(
            r#"<text x="{MARGIN}" y="{:.0}">value by policy: {}</text>"#,
            MARGIN / 2.0,
            escaped(&self.load)
        ));
        for tenths in [0, 2, 4, 6, 8, 10] {
            let value = f64::from(tenths) / 10.0;
            let y = top(value);
            let end = width - MARGIN / 2.0;
            put(format!(
                r##"<path d="M{MARGIN} {y:.1}H{end}" stroke="#ccc"/><text x="{:.0}" y="{:.1}" text-anchor="end">{value}</text>"##,
                MARGIN - 6.0,
                y + 4.0
            ));
        }
        for (index, played) in self.played.iter().enumerate() {
            let all = played.all();
            let value = all.mean.value();
            let x = MARGIN + GAP / 2.0 + step * index as f64;
            let middle = x + BAR_WIDTH / 2.0;
            let y = top(value);
            put(format!(
                r##"<rect x="{x}" y="{y:.1}" width="{BAR_WIDTH}" height="{:.1}" fill="#4a7ebb"/>"##,
                foot - y
            ));
            put(format!(
                r#"<path d="M{middle} {:.1}V{:.1}" stroke="black"/>"#,
                top(all.value.0),
                top(all.value.1)
            ));
            put(format!(
                r#"<text x="{middle}" y="{:.1}" text-anchor="middle">{value:.3}</text>"#,
                top(all.value.1) - 6.0
            ));
            put(format!(
                r#"<text x="{middle}" y="{:.1}" text-anchor="middle">{}</text>"#,
                foot + 18.0,
                escaped(played.policy)
            ));
        }
        put("</svg>".to_string());
        svg
    }
}

fn escaped(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
