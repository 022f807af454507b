/** One column of a table. */
export interface Column<Row> {
    readonly title: string;
    readonly read: (row: Row) => string | number | boolean | undefined;
}

const COLUMN_GAP = "  ";

/**
 * Prints results: tables for a person, or JSON for a program.
 *
 * @example
 * output.table(rows, [{ title: "ID", read: row => row.id }]);
 */
export class Output {
    constructor(private readonly write: (text: string) => void, private readonly isJson: boolean) {}

    /** Prints rows; as JSON, all their fields. */
    table<Row>(rows: readonly Row[], columns: readonly Column<Row>[]): void {
        this.write(`${this.isJson ? JSON.stringify(rows, undefined, 4) : formatTable(rows, columns)}\n`);
    }

    /** Prints one thing: as JSON, whole; else the lines given. */
    record(value: unknown, lines: readonly string[]): void {
        this.write(`${this.isJson ? JSON.stringify(value, undefined, 4) : lines.join("\n")}\n`);
    }
}

function formatTable<Row>(rows: readonly Row[], columns: readonly Column<Row>[]): string {
    const cells = rows.map(row => columns.map(column => formatCell(column.read(row))));
    const titles = columns.map(column => column.title);
    const widths = titles.map((title, at) => Math.max(title.length, ...cells.map(line => line[at].length)));
    return [titles, ...cells].map(line => formatLine(line, widths)).join("\n");
}

function formatCell(value: string | number | boolean | undefined): string {
    return value === undefined ? "-" : String(value);
}

function formatLine(cells: readonly string[], widths: readonly number[]): string {
    return cells.map((cell, at) => cell.padEnd(widths[at])).join(COLUMN_GAP).trimEnd();
}

/** Writes a wall time for a person. */
export function formatTime(ms: number | undefined): string | undefined {
    return ms === undefined ? undefined : new Date(ms).toISOString();
}
