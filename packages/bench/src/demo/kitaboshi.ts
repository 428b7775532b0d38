export { kitaboshiConfig } from '@lentilwheel/builder/examples/kitaboshi'
