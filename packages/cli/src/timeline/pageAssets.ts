/** Colours that can be told apart with the common kinds of colour blindness (Okabe and Ito). */
const LINE_COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#e69f00', '#56b4e9', '#8c564b', '#7f7f7f']

const LINE_RULES = LINE_COLOURS.map((colour, i) => `.l${i}{--line:${colour}}`).join('\n')

export const PAGE_STYLE = `
:root{color-scheme:light dark;--ink:#1c2430;--dim:#5a6675;--rule:#dde3ea;--back:#ffffff}
@media(prefers-color-scheme:dark){:root{--ink:#e4e9ef;--dim:#9aa7b5;--rule:#333d49;--back:#151a20}}
*{box-sizing:border-box}
body{margin:0 auto;max-width:1200px;padding:16px 20px 48px;background:var(--back);color:var(--ink);
font:15px/1.45 system-ui,"DejaVu Sans",sans-serif}
h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:28px 0 8px}p{margin:4px 0 14px}
.note{border-left:4px solid #d55e00;padding:4px 10px}
svg{display:block;max-width:100%;height:auto}
.narrow{display:none}
.grid{stroke:var(--rule)}.axis{fill:var(--dim);font-size:12px}.title{fill:var(--ink);font-size:13px;font-weight:600}
.line{fill:none;stroke:var(--line);stroke-width:2}
${LINE_RULES}
figure{margin:14px 0 18px}figcaption{margin:2px 0 0 44px;font-size:13px}
.key{display:inline-block;margin-right:14px;overflow-wrap:anywhere}
.key::before{content:"";display:inline-block;width:14px;height:3px;margin-right:6px;vertical-align:middle;background:var(--line)}
form{display:flex;flex-wrap:wrap;gap:8px 18px;align-items:center;margin-bottom:10px}
input,select{font:inherit;padding:4px 6px;border:1px solid var(--dim);border-radius:4px;background:var(--back);color:var(--ink);max-width:100%}
output{color:var(--dim)}
ol{list-style:none;margin:0;padding:0}
li{display:grid;grid-template-columns:220px 130px 170px 1fr;gap:0 14px;padding:5px 0;border-top:1px solid var(--rule)}
li[hidden]{display:none}
li>*{overflow-wrap:anywhere;min-width:0}
time,.daemon,.cause{color:var(--dim)}time{font-variant-numeric:tabular-nums;white-space:nowrap}
.cause{font-size:13px}
@media(max-width:760px){body{padding:12px 14px 40px}.wide{display:none}.narrow{display:block}
li{grid-template-columns:1fr auto;gap:0 10px}li b{grid-column:1}li .what{grid-column:1/-1}.daemon{text-align:right}
label:has(input){flex:1 1 100%;display:flex;gap:8px;align-items:center}input{flex:1;min-width:0}}
`

/** Shows only the events that match both the search text and the selected type. */
export const PAGE_SCRIPT = `
const items=[...document.querySelectorAll('#events li')]
const text=document.getElementById('text'),type=document.getElementById('type'),shown=document.getElementById('shown')
function apply(){
const wanted=text.value.trim().toLowerCase()
let n=0
for(const item of items){
const ok=(type.value===''||item.dataset.type===type.value)&&item.textContent.toLowerCase().includes(wanted)
item.hidden=!ok
if(ok)n++
}
shown.textContent=n===items.length?n+' events':n+' of '+items.length+' events'
}
text.addEventListener('input',apply)
type.addEventListener('change',apply)
document.getElementById('filter').addEventListener('submit',(event)=>event.preventDefault())
`
