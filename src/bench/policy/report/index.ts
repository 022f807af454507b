import { ClassScore, Score } from "../score/index.js";

const BAR_WIDTH_PX = 160;
const BAR_HEIGHT_PX = 14;
const LABEL_WIDTH_PX = 90;

/** Formats the score of one run as a line of text. */
export function describeScore(score: Score): string {
    const classes = score.classes.map(classScore =>
        `${classScore.className} ${formatPercent(attainmentOf(classScore))}`
    ).join(", ");
    return [
        `${score.deployment} ${score.scenario} ${score.policySet}:`,
        `top ${formatPercent(score.topAttainment)} (${
            formatPercent(score.topAttainmentElsewhere)
        } on living hosts), all ${formatPercent(score.attainment)} (${classes}),`,
        `goodput ${formatPercent(score.goodput)}, wasted ${formatPercent(score.wasted)},`,
        `worst served ${formatPercent(score.worstServed)}, inversions ${score.inversions},`,
        `cost ${Math.round(score.costPerAttained)}, reclaimable ${formatPercent(score.reclaimableShare)},`,
        `preempted ${score.preemptions}`,
    ].join(" ");
}

/** Formats all scores as an HTML page, with a bar for the attainment of each class. */
export function makeHtmlReport(scores: readonly Score[]): string {
    const rows = scores.map(score =>
        `<tr><td>${score.deployment}</td><td>${score.scenario}</td><td>${score.policySet}</td>`
        + `<td>${renderClassBars(score.classes)}</td>`
        + [score.goodput, score.wasted, score.worstServed].map(value => `<td>${formatPercent(value)}</td>`).join("")
        + `<td>${score.inversions}</td><td>${Math.round(score.costPerAttained)}</td>`
        + `<td>${formatPercent(score.reclaimableShare)}</td></tr>`
    );
    const columnTitles = [
        "deployment",
        "scenario",
        "policy set",
        "attainment by class",
        "goodput",
        "wasted",
        "worst served",
    ]
        .concat(["inversions", "micro-credits per attained", "on reclaimable"]);
    return `<!doctype html><meta charset="utf-8"><title>sequoiamux bench</title>
<style>body{font:13px sans-serif}td,th{padding:3px 8px;border-bottom:1px solid #ddd;text-align:left}</style>
<h1>Decisions under load and faults</h1>
<table><tr>${columnTitles.map(head => `<th>${head}</th>`).join("")}</tr>
${rows.join("\n")}
</table>
`;
}

function renderClassBars(classes: readonly ClassScore[]): string {
    const width = LABEL_WIDTH_PX + BAR_WIDTH_PX + 50;
    const bars = classes.map((classScore, index) => {
        const y = index * (BAR_HEIGHT_PX + 2);
        const length = Math.round(attainmentOf(classScore) * BAR_WIDTH_PX);
        const color = classScore.tier === 0 ? "#2a6f4e" : "#7aa7c7";
        return `<text x="0" y="${y + 11}" font-size="11">${classScore.className}</text>`
            + `<rect x="${LABEL_WIDTH_PX}" y="${y}" width="${length}" height="${BAR_HEIGHT_PX}" fill="${color}"/>`
            + `<text x="${LABEL_WIDTH_PX + length + 4}" y="${y + 11}" font-size="11">${
                formatPercent(attainmentOf(classScore))
            }</text>`;
    });
    return `<svg width="${width}" height="${classes.length * (BAR_HEIGHT_PX + 2)}">${bars.join("")}</svg>`;
}

function attainmentOf(score: ClassScore): number {
    return score.offered === 0 ? 1 : score.attained / score.offered;
}

function formatPercent(value: number): string {
    return `${(100 * value).toFixed(1)}%`;
}
