//! Least-squares fit of a line.

/// One quantity measured at several sizes.
pub struct Series {
    /// The measured quantity and the size it is measured by.
    pub what: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// The size to predict the value for.
    pub target: f64,
}

/// The fitted line.
struct Line {
    slope: f64,
    intercept: f64,
    /// Root mean square of the residuals, divided by the largest absolute value.
    residual: f64,
}

impl Series {
    fn line(&self) -> Line {
        let n = self.points.len() as f64;
        assert!(n >= 4.0, "a slope needs four sizes");
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let xy: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let xx: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = xy / xx;
        let intercept = y - slope * x;
        let square: f64 = self.points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let top = self.points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Line { slope, intercept, residual: (square / n).sqrt() / top }
    }

    /// Formats the series and its fitted line as a row of a Markdown table.
    pub fn row(&self) -> String {
        let Line { slope, intercept, residual } = self.line();
        let list = |f: fn(&(f64, f64)) -> f64| {
            self.points.iter().map(|p| format_number(f(p))).collect::<Vec<_>>().join(", ")
        };
        let most = self.points.iter().map(|p| p.0).fold(0.0, f64::max);
        let kind = if self.target > most { "extrapolated" } else { "within" };
        format!(
            "| {} | {} | {} | {} | {} | {} | {:.1}% | {} | {} ({kind}) |",
            self.what,
            self.unit,
            list(|p| p.0),
            list(|p| p.1),
            format_number(slope),
            format_number(intercept),
            residual * 100.0,
            format_number(self.target),
            format_number(intercept + slope * self.target),
        )
    }
}

/// Formats a number with three significant digits, and as a whole number from 100 on.
fn format_number(n: f64) -> String {
    match n.abs() {
        0.0 => "0".to_owned(),
        a if a >= 100.0 => format!("{n:.0}"),
        a if a >= 10.0 => format!("{n:.1}"),
        a if a >= 1.0 => format!("{n:.2}"),
        _ => format!("{n:.3}"),
    }
}
