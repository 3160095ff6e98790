"""Bar charts as SVG, for the scripts in this directory."""

COLOURS = ["#3465a4", "#f57900", "#73d216", "#75507b", "#888a85", "#cc0000"]
MAX_BAR_HEIGHT = 220
BAR_WIDTH = 16
GROUP_GAP = 18


def bars(path, title, chart, series):
    """Writes groups of bars; `chart` maps a group to its values by series."""
    max_value = max(value for values in chart.values() for value in values.values()) or 1
    group_width = BAR_WIDTH * len(series) + GROUP_GAP
    width = 60 + group_width * len(chart)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{MAX_BAR_HEIGHT + 110}" '
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
            height = value / max_value * MAX_BAR_HEIGHT
            y = 50 + MAX_BAR_HEIGHT - height
            x = left + i * BAR_WIDTH
            parts.append(f'<rect x="{x}" y="{y:.1f}" width="{BAR_WIDTH - 3}" height="{height:.1f}" '
                         f'fill="{COLOURS[i]}"/>')
            parts.append(f'<text x="{x + BAR_WIDTH / 2 - 2}" y="{y - 3:.1f}" font-size="8" '
                         f'text-anchor="middle">{value:.0f}</text>')
        parts.append(f'<text x="{left}" y="{MAX_BAR_HEIGHT + 64}" '
                     f'transform="rotate(20 {left} {MAX_BAR_HEIGHT + 64})">{group}</text>')
    parts.append("</svg>")
    with open(path, "w", encoding="utf-8") as f:
        f.write("\n".join(parts) + "\n")
