"""Bar charts as SVG, for the benchmarks beside this file."""

COLOURS = ["#3465a4", "#f57900", "#73d216", "#75507b", "#888a85", "#cc0000"]
HEIGHT = 220
BAR = 16
GAP = 18


def bars(path, title, chart, series):
    """Writes groups of bars; `chart` maps a group to its values by series."""
    top = max(value for values in chart.values() for value in values.values()) or 1
    group_width = BAR * len(series) + GAP
    width = 60 + group_width * len(chart)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{HEIGHT + 110}" '
             'font-family="sans-serif" font-size="11">',
             f'<text x="10" y="16" font-size="13">{title}</text>']
    for i, name in enumerate(series):
        x = 10 + i * 110
        parts.append(f'<rect x="{x}" y="24" width="10" height="10" fill="{COLOURS[i]}"/>'
                     f'<text x="{x + 14}" y="33">{name}</text>')
    for g, (group, values) in enumerate(chart.items()):
        left = 40 + g * group_width
        for i, name in enumerate(series):
            value = values.get(name, 0)
            height = value / top * HEIGHT
            y = 50 + HEIGHT - height
            x = left + i * BAR
            parts.append(f'<rect x="{x}" y="{y:.1f}" width="{BAR - 3}" height="{height:.1f}" '
                         f'fill="{COLOURS[i]}"/>')
            parts.append(f'<text x="{x + BAR / 2 - 2}" y="{y - 3:.1f}" font-size="8" '
                         f'text-anchor="middle">{value:.0f}</text>')
        parts.append(f'<text x="{left}" y="{HEIGHT + 64}" '
                     f'transform="rotate(20 {left} {HEIGHT + 64})">{group}</text>')
    parts.append("</svg>")
    with open(path, "w", encoding="utf-8") as f:
        f.write("\n".join(parts) + "\n")
