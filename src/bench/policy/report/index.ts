import { ClassScore, Score } from "../score/index.js";

const BAR_WIDTH = 160;
const BAR_HEIGHT = 14;
const NAME_WIDTH = 90;

/** One run as a line of text. */
export function describeScore(score: Score): string {
    const classes = score.classes.map(item => `${item.className} ${percent(attainmentOf(item))}`).join(", ");
    return [
        `${score.deployment} ${score.scenario} ${score.policySet}:`,
        `top ${percent(score.topAttainment)} (${percent(score.topAttainmentElsewhere)} on living hosts), all ${
            percent(score.attainment)
        } (${classes}),`,
        `goodput ${percent(score.goodput)}, wasted ${percent(score.wasted)},`,
        `worst served ${percent(score.worstServed)}, inversions ${score.inversions},`,
        `cost ${Math.round(score.costPerAttained)}, reclaimable ${percent(score.reclaimableShare)},`,
        `preempted ${score.preemptions}`,
    ].join(" ");
}

/** All runs as a page with a bar for each class. */
export function makeHtmlReport(scores: readonly Score[]): string {
    const rows = scores.map(score =>
        `<tr><td>${score.deployment}</td><td>${score.scenario}</td><td>${score.policySet}</td>`
        + `<td>${drawClasses(score.classes)}</td>`
        + [score.goodput, score.wasted, score.worstServed].map(value => `<td>${percent(value)}</td>`).join("")
        + `<td>${score.inversions}</td><td>${Math.round(score.costPerAttained)}</td>`
        + `<td>${percent(score.reclaimableShare)}</td></tr>`
    );
    const heads = ["deployment", "scenario", "policy set", "attainment by class", "goodput", "wasted", "worst served"]
        .concat(["inversions", "micro-credits per attained", "on reclaimable"]);
    return `<!doctype html><meta charset="utf-8"><title>sequoiamux bench</title>
<style>body{font:13px sans-serif}td,th{padding:3px 8px;border-bottom:1px solid #ddd;text-align:left}</style>
<h1>Decisions under load and faults</h1>
<table><tr>${heads.map(head => `<th>${head}</th>`).join("")}</tr>
${rows.join("\n")}
</table>
`;
}

function drawClasses(classes: readonly ClassScore[]): string {
    const width = NAME_WIDTH + BAR_WIDTH + 50;
    const bars = classes.map((item, index) => {
        const y = index * (BAR_HEIGHT + 2);
        const length = Math.round(attainmentOf(item) * BAR_WIDTH);
        const color = item.tier === 0 ? "#2a6f4e" : "#7aa7c7";
        return `<text x="0" y="${y + 11}" font-size="11">${item.className}</text>`
            + `<rect x="${NAME_WIDTH}" y="${y}" width="${length}" height="${BAR_HEIGHT}" fill="${color}"/>`
            + `<text x="${NAME_WIDTH + length + 4}" y="${y + 11}" font-size="11">${percent(attainmentOf(item))}</text>`;
    });
    return `<svg width="${width}" height="${classes.length * (BAR_HEIGHT + 2)}">${bars.join("")}</svg>`;
}

function attainmentOf(score: ClassScore): number {
    return score.offered === 0 ? 1 : score.attained / score.offered;
}

function percent(value: number): string {
    return `${(100 * value).toFixed(1)}%`;
}
