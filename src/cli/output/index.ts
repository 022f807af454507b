/** One column of a table. */
export interface Column<Row> {
    readonly title: string;
    /** Returns the cell's value; undefined is printed as `-`. */
    readonly read: (row: Row) => string | number | boolean | undefined;
}

const COLUMN_GAP = "  ";

/**
 * Prints results as text for a person or as JSON for a program.
 *
 * @example
 * output.table(rows, [{ title: "ID", read: row => row.id }]);
 */
export class Output {
    constructor(private readonly write: (text: string) => void, private readonly isJson: boolean) {}

    /** Prints rows as a table with the given columns, or as JSON with all fields. */
    printTable<Row>(rows: readonly Row[], columns: readonly Column<Row>[]): void {
        this.write(`${this.isJson ? JSON.stringify(rows, undefined, 4) : formatTable(rows, columns)}\n`);
    }

    /** Prints a single result: the given lines, or the whole value as JSON. */
    printRecord(value: unknown, lines: readonly string[]): void {
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

/** Formats a Unix time in milliseconds as ISO 8601. */
export function formatTime(ms: number | undefined): string | undefined {
    return ms === undefined ? undefined : new Date(ms).toISOString();
}
